#include "conversation/history_client.h"
#include "conversation/history_node.h"
#include "net/spawn.h"
#include "platform/http_platform_adapter.h"
#include "soak/soak_store.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <thread>

using namespace lagoonferry;
using std::chrono::milliseconds;

namespace {

constexpr std::uint16_t node_port = 17'391;

tcp::endpoint address_of(const std::string& text)
{
    const std::size_t colon = text.find(':');
    return {asio::ip::make_address(text.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

/// A history node as a process of its own: its event loop ends with it.
struct test_node {
    test_node(history_node_settings settings, const platform::http_platform_adapter& adapter, const std::string& store)
        : store(loop.get_executor(), adapter, [](std::string_view /*call*/, store_status /*result*/) {}),
          peers(loop.get_executor(), this->store), node(loop.get_executor(), std::move(settings), peers)
    {
        this->store.set_address(address_of(store));
        REQUIRE(node.start());
    }

    asio::io_context loop{1};
    store_client store;
    history_peers peers;
    history_node node;
};

/// A gateway's part in keeping turns.
struct test_client {
    test_client(const platform::http_platform_adapter& adapter, const std::string& store, std::size_t losses)
        : store(loop.get_executor(), adapter, [](std::string_view /*call*/, store_status /*result*/) {}),
          history(loop.get_executor(), {"a", losses}, this->store)
    {
        this->store.set_address(address_of(store));
        history.start();
    }

    asio::io_context loop{1};
    store_client store;
    history_client history;
};

/// A store, history nodes with disks, and clients.
class test_system {
public:
    explicit test_system(int nodes, std::size_t losses = 1) : m_losses(losses), m_store(m_store_loop.get_executor())
    {
        std::string name = (std::filesystem::temp_directory_path() / "history-test-XXXXXX").string();
        m_folder = ::mkdtemp(name.data());
        for (int n = 0; n < nodes; ++n) {
            start_node(n, true);
        }
        for (int n = 0; n < 2; ++n) {
            m_clients.push_back(std::make_unique<test_client>(m_adapter, m_store.address(), losses));
        }
        REQUIRE(run_until([&] {
            return std::ranges::all_of(m_clients, [&](const auto& item) {
                return item->history.nodes().all().size() == static_cast<std::size_t>(nodes);
            });
        }));
    }
    ~test_system()
    {
        m_nodes.clear();
        std::filesystem::remove_all(m_folder);
    }
    test_system(const test_system&) = delete;
    test_system& operator=(const test_system&) = delete;

    void start_node(int number, bool first_start = false)
    {
        history_node_settings settings;
        settings.id = "n" + std::to_string(number);
        settings.ip = "127.9.2." + std::to_string(number + 1);
        settings.port = node_port;
        settings.failure_domain = std::string(1, static_cast<char>('a' + number));
        settings.data_folder = folder_of(number).string();
        settings.first_start = first_start;
        settings.tolerated_losses = m_losses;
        m_nodes[number] = std::make_unique<test_node>(settings, m_adapter, m_store.address());
    }

    /// Ends a node at once. Its disk stays.
    void stop_node(int number) { m_nodes.erase(number); }

    void wipe(int number) { std::filesystem::remove_all(folder_of(number)); }

    soak::soak_store& store() { return m_store; }

    bool running(int number) const { return m_nodes.contains(number); }
    bool complete(int number) const { return m_nodes.at(number)->node.complete(); }
    const turn_table& turns_of(int number) const { return m_nodes.at(number)->node.turns(); }

    bool run_until(const std::function<bool()>& done, milliseconds limit = milliseconds(8'000))
    {
        const auto until = std::chrono::steady_clock::now() + limit;
        while (!done() && std::chrono::steady_clock::now() < until) {
            std::size_t ran = m_store_loop.poll();
            for (const auto& [number, item] : m_nodes) {
                ran += item->loop.poll();
            }
            for (const auto& item : m_clients) {
                ran += item->loop.poll();
            }
            if (ran == 0) {
                std::this_thread::sleep_for(std::chrono::microseconds(200));
            }
        }
        return done();
    }

    void run_for(milliseconds span)
    {
        run_until([] { return false; }, span);
    }

    /// Keeps a turn through a client. Returns whether it is kept.
    bool keep(const std::string& id, const std::string& previous, int client = 0)
    {
        const auto result = std::make_shared<std::optional<bool>>();
        test_client& from = *m_clients[static_cast<std::size_t>(client)];
        spawn(from.loop.get_executor(), keep_turn(from, {id, previous, "in-" + id + ";", "out-" + id + "\n"}, result),
              "test");
        REQUIRE(run_until([&] { return result->has_value(); }));
        return **result;
    }

    history_client::found_chain find(const std::string& id, int client = 0)
    {
        const auto result = std::make_shared<std::optional<history_client::found_chain>>();
        test_client& from = *m_clients[static_cast<std::size_t>(client)];
        spawn(from.loop.get_executor(), find_turn(from, id, result), "test");
        REQUIRE(run_until([&] { return result->has_value(); }));
        return **result;
    }

    bool empty_node(int number)
    {
        const auto result = std::make_shared<std::optional<bool>>();
        spawn(m_clients[0]->loop.get_executor(), empty(*m_clients[0], "n" + std::to_string(number), result), "test");
        REQUIRE(run_until([&] { return result->has_value(); }));
        return **result;
    }

    /// Replaces a client by a new one without cached turns.
    void restart_client(int number)
    {
        auto& item = m_clients[static_cast<std::size_t>(number)];
        item = std::make_unique<test_client>(m_adapter, m_store.address(), m_losses);
        REQUIRE(run_until([&] { return item->history.nodes().known(); }));
    }

private:
    std::filesystem::path folder_of(int number) const { return m_folder / std::to_string(number); }

    static asio::awaitable<void> keep_turn(test_client& from, turn_record record,
                                           std::shared_ptr<std::optional<bool>> result)
    {
        *result = co_await from.history.keep(std::move(record));
    }
    static asio::awaitable<void> find_turn(test_client& from, std::string id,
                                           std::shared_ptr<std::optional<history_client::found_chain>> result)
    {
        *result = co_await from.history.find(id);
    }
    static asio::awaitable<void> empty(test_client& from, std::string machine,
                                       std::shared_ptr<std::optional<bool>> result)
    {
        *result = co_await from.history.empty_node(machine);
    }

    std::size_t m_losses;
    asio::io_context m_store_loop{1};
    platform::http_platform_adapter m_adapter;
    soak::soak_store m_store;
    std::filesystem::path m_folder;
    std::map<int, std::unique_ptr<test_node>> m_nodes;
    std::vector<std::unique_ptr<test_client>> m_clients;
};

} // namespace

TEST_CASE("a turn that one gateway kept is found by another one, with all turns before it")
{
    test_system system(3);
    REQUIRE(system.keep("a", ""));
    REQUIRE(system.keep("b", "a"));
    REQUIRE(system.keep("c", "b"));
    const auto found = system.find("c", 1);
    CHECK(found.result == turn_lookup::found);
    CHECK(found.text == "in-a;out-a\nin-b;out-b\nin-c;out-c\n");
    CHECK(system.find("b").text == "in-a;out-a\nin-b;out-b\n");
    CHECK(system.find("none").result == turn_lookup::does_not_exist);
}

TEST_CASE("a turn is kept while as many nodes as may be lost do not respond, and then in the store while it responds")
{
    test_system system(3);
    REQUIRE(system.keep("a", ""));
    system.stop_node(0);
    CHECK(system.keep("b", "a"));
    CHECK(system.find("b", 1).result == turn_lookup::found);
    system.stop_node(1);
    CHECK(system.keep("c", "b"));
    system.store().set_mode(soak::soak_store::mode::refuse);
    CHECK_FALSE(system.keep("d", "c"));
    CHECK(system.find("b", 1).result == turn_lookup::found);
}

TEST_CASE("a turn is not kept in the store without the turns before it")
{
    test_system system(3);
    REQUIRE(system.keep("a", ""));
    for (int number = 0; number < 3; ++number) {
        system.stop_node(number);
    }
    system.restart_client(1); // its cache lacks the first turn
    CHECK_FALSE(system.keep("b", "a", 1));
    CHECK(system.find("b").result == turn_lookup::uncertain);
}

TEST_CASE("a turn that only the store has is found there, and continued at the nodes once they are back")
{
    test_system system(3);
    REQUIRE(system.keep("a", ""));
    for (int number = 0; number < 3; ++number) {
        system.stop_node(number);
    }
    REQUIRE(system.keep("b", "a"));
    system.restart_client(1);
    CHECK(system.find("b", 1).text == "in-a;out-a\nin-b;out-b\n");
    for (int number = 0; number < 3; ++number) {
        system.start_node(number);
    }
    system.run_for(milliseconds(1'200)); // failed nodes are called again
    REQUIRE(system.keep("c", "b", 1));
    CHECK(system.run_until([&] { return system.turns_of(0).contains("c"); }));
    CHECK(system.turns_of(0).chain("c").size() == 3);
    system.store().set_mode(soak::soak_store::mode::refuse);
    CHECK(system.find("none").result == turn_lookup::uncertain); // the store may have it
}

TEST_CASE("that a turn does not exist needs the word of enough nodes")
{
    test_system system(3);
    REQUIRE(system.keep("a", ""));
    system.stop_node(2);
    CHECK(system.find("none").result == turn_lookup::does_not_exist);
    system.stop_node(1);
    CHECK(system.find("none").result == turn_lookup::uncertain);
    // A node that has lost its disk does not know.
    system.wipe(1);
    system.start_node(1);
    CHECK(system.find("none").result == turn_lookup::uncertain);
}

TEST_CASE("disks that are lost one after the other lose no turn")
{
    test_system system(3);
    REQUIRE(system.keep("a", ""));
    REQUIRE(system.keep("b", "a"));
    for (int number = 0; number < 3; ++number) {
        system.stop_node(number);
        system.wipe(number);
        system.start_node(number);
        REQUIRE(system.run_until([&] { return system.complete(number); }, milliseconds(4'400)));
        CHECK(system.turns_of(number).size() == 2);
    }
    system.restart_client(1);
    CHECK(system.find("b", 1).text == "in-a;out-a\nin-b;out-b\n");
}

TEST_CASE("all nodes restart at once and one of them without its disk")
{
    test_system system(3);
    REQUIRE(system.keep("a", ""));
    REQUIRE(system.keep("b", "a"));
    for (int number = 0; number < 3; ++number) {
        system.stop_node(number);
    }
    system.wipe(0);
    for (int number = 0; number < 3; ++number) {
        system.start_node(number);
    }
    system.restart_client(1);
    CHECK(system.find("b", 1).result == turn_lookup::found);
    REQUIRE(system.run_until([&] { return system.complete(0) && system.complete(1) && system.complete(2); },
                             milliseconds(4'400)));
    CHECK(system.find("none", 1).result == turn_lookup::does_not_exist);
}

TEST_CASE("a machine with a history node is emptied before it is removed")
{
    test_system system(3);
    system.stop_node(2);
    REQUIRE(system.keep("a", ""));
    system.start_node(2);
    system.run_for(milliseconds(50));
    REQUIRE(system.empty_node(0));
    CHECK(system.turns_of(1).contains("a"));
    CHECK(system.turns_of(2).contains("a"));
    system.stop_node(0);
    system.wipe(0);
    CHECK(system.keep("b", "a"));
    system.restart_client(1);
    CHECK(system.find("b", 1).result == turn_lookup::found);
}

TEST_CASE("a machine without a history node needs no emptying")
{
    test_system system(3);
    CHECK(system.empty_node(7));
}

TEST_CASE("a node that was unreachable gets the turns that it lacks with the next put")
{
    test_system system(3);
    REQUIRE(system.keep("a", ""));
    system.stop_node(2);
    REQUIRE(system.keep("b", "a"));
    REQUIRE(system.keep("c", "b"));
    system.wipe(2);
    system.start_node(2);
    system.run_for(milliseconds(300));
    REQUIRE(system.keep("d", "c"));
    CHECK(system.run_until([&] { return system.turns_of(2).contains("d"); }));
    CHECK(system.turns_of(2).chain("d").size() == 4);
}

TEST_CASE("seeded losses: a kept turn is always found whole or, during losses, refused as uncertain")
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        CAPTURE(seed);
        std::minstd_rand random(seed);
        const std::size_t losses = seed == 3 ? 2 : 1;
        const int nodes = losses == 2 ? 6 : 3;
        test_system system(nodes, losses);
        std::map<std::string, std::string> texts; ///< of kept turns
        std::vector<std::string> kept{""};
        int lost = -1;
        std::chrono::steady_clock::time_point back_at{};
        for (int step = 0; step < 120; ++step) {
            const std::string id = "t" + std::to_string(step);
            const std::string previous = kept[random() % kept.size()];
            if (system.keep(id, previous, static_cast<int>(random() % 2))) {
                kept.push_back(id);
                texts[id] = texts[previous] + "in-" + id + ";out-" + id + "\n";
            }
            if (random() % 12 == 0 && lost < 0) {
                lost = static_cast<int>(random() % static_cast<unsigned>(nodes));
                system.stop_node(lost);
                if (random() % 2 == 0) {
                    system.wipe(lost);
                }
            }
            else if (lost >= 0 && !system.running(lost) && random() % 4 == 0) {
                system.start_node(lost);
                back_at = std::chrono::steady_clock::now();
            }
            else if (lost >= 0 && system.running(lost) && random() % 8 == 0) {
                // The next loss comes no sooner than this after the return of a node.
                const auto rest = back_at + milliseconds(4'400) - std::chrono::steady_clock::now();
                REQUIRE(system.run_until([&] { return system.complete(lost); },
                                         std::chrono::duration_cast<milliseconds>(rest)));
                lost = -1;
            }
            if (random() % 10 == 0) {
                system.restart_client(static_cast<int>(random() % 2));
            }
            const std::string& asked = kept[random() % kept.size()];
            const auto found = system.find(asked.empty() ? "none" : asked, static_cast<int>(random() % 2));
            if (asked.empty()) {
                CHECK(found.result != turn_lookup::found);
            }
            else {
                CHECK(found.result == turn_lookup::found); // no more nodes than allowed are lost
                CHECK(found.text == texts[asked]);
            }
        }
        CHECK(kept.size() > 60);
    }
}
