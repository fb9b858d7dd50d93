#include "conversation/history_node.h"
#include "gateway_rig.h"
#include "scripted_target.h"
#include "soak/soak_store.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <future>
#include <memory>
#include <thread>

using namespace lagoonferry;
using namespace lagoonferry::test;
using std::chrono::milliseconds;

namespace {

constexpr std::uint16_t node_port = 17'392;

std::string status_of(const std::string& response)
{
    return response.substr(0, response.find("\r\n")).substr(0, 12);
}

std::string body_of(const std::string& request)
{
    return request.substr(request.find("\r\n\r\n") + 4);
}

std::string kept_request(std::string_view id, std::string_view previous, std::string_view input,
                         std::string_view more_fields = {})
{
    std::string fields(more_fields);
    if (!previous.empty()) {
        fields += "Lagoonferry-Previous-Turn: " + std::string(previous) + "\r\n";
    }
    return gateway_rig::request("POST", "/kept/", id, fields, input);
}

/// A store and three history nodes on a thread of their own.
class history_rig {
public:
    history_rig() : m_work(m_loop.get_executor()), m_store(m_loop.get_executor())
    {
        std::string name = (std::filesystem::temp_directory_path() / "kept-test-XXXXXX").string();
        m_folder = ::mkdtemp(name.data());
        const std::string& address = m_store.address();
        m_store_address = {asio::ip::make_address("127.0.0.1"),
                           static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)))};
        for (int n = 0; n < 3; ++n) {
            history_node_settings settings;
            settings.id = "n" + std::to_string(n);
            settings.ip = "127.9.3." + std::to_string(n + 1);
            settings.port = node_port;
            settings.failure_domain = "a";
            settings.data_folder = (m_folder / settings.id).string();
            settings.first_start = true;
            m_nodes.push_back(std::make_unique<node>(m_loop.get_executor(), m_adapter, settings, m_store_address));
        }
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~history_rig()
    {
        m_loop.stop();
        m_thread.join();
        std::filesystem::remove_all(m_folder);
    }
    history_rig(const history_rig&) = delete;
    history_rig& operator=(const history_rig&) = delete;

    /// Makes a gateway use these nodes, and waits until it knows them.
    void connect(gateway_rig& gateway)
    {
        // The gateway reads the registry again only after 5 s once it knows one node.
        bool registered = false;
        for (int n = 0; n < 200 && !registered; ++n) {
            std::promise<bool> all;
            asio::post(m_loop, [this, &all] {
                all.set_value(m_store.has("lagoonferry/history/n0") && m_store.has("lagoonferry/history/n1") &&
                              m_store.has("lagoonferry/history/n2"));
            });
            registered = all.get_future().get();
            std::this_thread::sleep_for(milliseconds(20));
        }
        REQUIRE(registered);
        gateway.on_loop([this](gateway_context& context) {
            context.store.set_address(m_store_address);
            context.history.start();
        });
        std::size_t known = 0;
        for (int n = 0; n < 200 && known < 3; ++n) {
            std::this_thread::sleep_for(milliseconds(20));
            gateway.on_loop([&known](gateway_context& context) { known = context.history.nodes().all().size(); });
        }
        REQUIRE(known == 3);
    }

private:
    struct node {
        node(const asio::any_io_executor& loop, const platform::http_platform_adapter& adapter,
             const history_node_settings& settings, const tcp::endpoint& address)
            : store(loop, adapter, [](std::string_view /*call*/, store_status /*result*/) {}), peers(loop, store),
              node_process(loop, settings, peers)
        {
            store.set_address(address);
            REQUIRE(node_process.start());
        }
        store_client store;
        history_peers peers;
        history_node node_process;
    };

    asio::io_context m_loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    platform::http_platform_adapter m_adapter;
    soak::soak_store m_store;
    tcp::endpoint m_store_address;
    std::filesystem::path m_folder;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::thread m_thread;
};

} // namespace

TEST_CASE("a turn of another client account does not exist, and the owning account continues it")
{
    history_rig nodes;
    scripted_target* self = nullptr;
    scripted_target target([&](auto& connection, int) {
        for (std::string request = connection.read_request(); !request.empty(); request = connection.read_request()) {
            self->record_request(request);
            connection.send(stream_header(request) + event_chunk(1) + std::string(last_chunk));
        }
    });
    self = &target;
    gateway_rig gateway({target.address()});
    gateway.set_document([](routing_document& document) {
        document.accounts = {{"club-a", {"key-a"}, std::nullopt, {}}, {"club-b", {"key-b"}, std::nullopt, {}}};
    });
    nodes.connect(gateway);
    constexpr std::string_view of_a = "Authorization: Bearer key-a\r\n";
    constexpr std::string_view of_b = "Authorization: Bearer key-b\r\n";
    CHECK(status_of(gateway.call(kept_request("a1", "", "first", of_a))) == "HTTP/1.1 200");
    CHECK(status_of(gateway.call(kept_request("b1", "a1", "foreign", of_b))) == "HTTP/1.1 404");
    CHECK(status_of(gateway.call(kept_request("a2", "a1", "second", of_a))) == "HTTP/1.1 200");
    REQUIRE(target.requests().size() == 2);
    CHECK(body_of(target.requests().back()).ends_with("second"));
    CHECK(body_of(target.requests().back()).starts_with("first"));
}

TEST_CASE("a target gets the inputs and outputs of all turns before the new input, byte for byte")
{
    history_rig nodes;
    scripted_target* self = nullptr;
    scripted_target target([&](auto& connection, int) {
        for (std::string request = connection.read_request(); !request.empty(); request = connection.read_request()) {
            self->record_request(request);
            connection.send(stream_header(request) + event_chunk(1) + event_chunk(2) + std::string(last_chunk));
        }
    });
    self = &target;
    gateway_rig first({target.address()});
    gateway_rig second({target.address()});
    nodes.connect(first);
    nodes.connect(second);
    const std::string binary("\0\xff{\r\n\r\n", 7);
    CHECK(status_of(first.call(kept_request("a", "", "hello"))) == "HTTP/1.1 200");
    CHECK(status_of(second.call(kept_request("b", "a", binary))) == "HTTP/1.1 200");
    CHECK(status_of(first.call(kept_request("c", "b", "third"))) == "HTTP/1.1 200");
    CHECK(status_of(second.call(kept_request("d", "a", "branch"))) == "HTTP/1.1 200");
    const auto seen = target.requests();
    REQUIRE(seen.size() == 4);
    const std::string output = "1\n2\n";
    CHECK(body_of(seen[0]) == "hello");
    CHECK(body_of(seen[1]) == "hello" + output + binary);
    CHECK(body_of(seen[2]) == "hello" + output + binary + output + "third");
    CHECK(body_of(seen[3]) == "hello" + output + "branch");
    CHECK(header_value(seen[2], "Lagoonferry-Previous-Turn") == "b");
}

TEST_CASE("a turn whose previous turn does not exist is refused for good, and without nodes for the moment")
{
    history_rig nodes;
    std::atomic<int> requests = 0;
    scripted_target target([&](auto& connection, int) {
        if (!connection.read_request().empty()) {
            ++requests;
        }
    });
    gateway_rig gateway({target.address()});
    const std::string early = gateway.call(kept_request("x", "", "hello"));
    CHECK(status_of(early) == "HTTP/1.1 503");
    CHECK_FALSE(header_value(early, "Retry-After").empty());
    nodes.connect(gateway);
    CHECK(status_of(gateway.call(kept_request("b", "none", "hello"))) == "HTTP/1.1 404");
    CHECK(requests == 0);
}

TEST_CASE("the turn of a caller that resumes a stream is kept whole")
{
    history_rig nodes;
    scripted_target* self = nullptr;
    scripted_target target([&](auto& connection, int) {
        for (std::string request = connection.read_request(); !request.empty(); request = connection.read_request()) {
            self->record_request(request);
            connection.send(stream_header(request) + event_chunk(1) + event_chunk(2) + event_chunk(3) +
                            std::string(last_chunk));
        }
    });
    self = &target;
    gateway_rig gateway({target.address()});
    nodes.connect(gateway);
    const std::string response = gateway.call(kept_request("a", "", "hello", "Last-Event-Id: 2\r\n"));
    CHECK(response.find("id: 3\n") != std::string::npos);
    CHECK(response.find("id: 2\n") == std::string::npos);
    CHECK(header_value(target.requests().front(), "Last-Event-Id").empty());
    gateway.call(kept_request("b", "a", "next"));
    REQUIRE(target.requests().size() == 2);
    CHECK(body_of(target.requests()[1]) == "hello1\n2\n3\nnext");
}

TEST_CASE("a turn that a broken stream made up of two parts is kept in the order of its events")
{
    history_rig nodes;
    scripted_target* self = nullptr;
    scripted_target target([&](auto& connection, int) {
        for (std::string request = connection.read_request(); !request.empty(); request = connection.read_request()) {
            self->record_request(request);
            connection.send(stream_header(request));
            if (header_value(request, "Lagoonferry-Request-Id") == "a" &&
                header_value(request, "Last-Event-Id").empty()) {
                connection.send(event_chunk(1) + "9\r\nid: 2\ndat");
                std::this_thread::sleep_for(milliseconds(30));
                connection.reset();
                return;
            }
            connection.send(event_chunk(2) + event_chunk(3) + std::string(last_chunk));
        }
    });
    self = &target;
    gateway_rig gateway({target.address()});
    nodes.connect(gateway);
    CHECK(status_of(gateway.call(kept_request("a", "", "hello"))) == "HTTP/1.1 200");
    gateway.call(kept_request("b", "a", "next"));
    REQUIRE(target.requests().size() == 3);
    CHECK(body_of(target.requests()[1]) == "hello"); // the resumed request is the same one
    CHECK(body_of(target.requests()[2]) == "hello1\n2\n3\nnext");
}

TEST_CASE("a turn that is not kept does not look complete, and cannot be continued")
{
    scripted_target target([&](auto& connection, int) {
        for (std::string request = connection.read_request(); !request.empty(); request = connection.read_request()) {
            connection.send(stream_header(request) + event_chunk(1));
            std::this_thread::sleep_for(milliseconds(400));
            connection.send(std::string(last_chunk));
        }
    });
    gateway_rig gateway({target.address()});
    auto nodes = std::make_unique<history_rig>();
    nodes->connect(gateway);
    std::string response;
    std::thread caller([&] { response = gateway.call(kept_request("a", "", "hello")); });
    std::this_thread::sleep_for(milliseconds(200));
    nodes.reset(); // the nodes end while the target still works
    caller.join();
    CHECK(response.find("id: 1\n") != std::string::npos);
    CHECK_FALSE(response.ends_with(last_chunk));
    CHECK(status_of(gateway.call(kept_request("b", "a", "next"))) == "HTTP/1.1 503");
}
