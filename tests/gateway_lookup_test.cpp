#include "gateway/client_session.h"
#include "gateway/gateway_context.h"
#include "net/client_connection.h"
#include "net/spawn.h"
#include "platform/http_platform_adapter.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace lagoonferry;
using std::chrono::milliseconds;

namespace {

gateway_settings lookup_settings()
{
    gateway_settings settings;
    settings.id = "g0";
    settings.ip = "127.9.1.1";
    settings.failure_domain = "a";
    settings.callers = {settings.ip, 18'249};
    settings.lookup = {settings.ip, 18'250};
    settings.datagram_port = 17'480;
    settings.store = {"127.0.0.1", 9}; // nothing listens there
    return settings;
}

/// A gateway that knows many others from the store, and serves address lookups.
class lookup_rig {
public:
    explicit lookup_rig(int gateways) : m_context(m_loop.get_executor(), lookup_settings(), m_adapter)
    {
        std::vector<listed_instance> all;
        for (int n = 1; n < gateways; ++n) {
            all.push_back({"g" + std::to_string(n),
                           member_role::entry,
                           {"127.9.2." + std::to_string(n), 18'249, 17'480, 0},
                           "a",
                           false});
        }
        m_context.fleet.add_members(all);
        m_context.routes = std::make_shared<const route_table>(routing_document{});
        REQUIRE(listen_for_sessions(m_context, m_context.settings.lookup, listener_kind::local));
    }

    std::set<std::string> addresses_for(const std::string& target)
    {
        std::string body;
        spawn(m_loop.get_executor(), look_up(target, body), "test");
        for (int n = 0; n < 100 && body.empty(); ++n) {
            m_loop.run_for(milliseconds(10));
        }
        REQUIRE_FALSE(body.empty());
        return nlohmann::json::parse(body).at("addresses").get<std::set<std::string>>();
    }

private:
    asio::awaitable<void> look_up(std::string target, std::string& body)
    {
        const deadline until = deadline_after(milliseconds(800));
        client_connection connection(m_loop.get_executor());
        http_request request{http::verb::get, target, 11};
        request.set(http::field::host, "g0");
        error_code ec = co_await connection.connect(
            {asio::ip::make_address(m_context.settings.ip), m_context.settings.lookup.port}, until);
        if (!ec) {
            ec = co_await connection.send(request, until);
        }
        response_reader response(connection);
        if (!ec) {
            ec = co_await response.read_header(until);
        }
        std::string text;
        if (!ec && response.status() == 200 && !co_await response.read_remaining(text, 65'536, until)) {
            body = text;
        }
    }

    asio::io_context m_loop{1};
    platform::http_platform_adapter m_adapter;
    gateway_context m_context;
};

} // namespace

// If all callers get the first 64 gateways by name, the other 236 of 300 are idle.
TEST_CASE("callers of different hosts and failure domains get different gateways of a large fleet")
{
    constexpr int gateways = 100;
    lookup_rig rig(gateways);
    std::set<std::string> returned;
    for (const char* host : {"a.example", "b.example"}) {
        for (const char* domain : {"a", "b", "c"}) {
            const std::string target = std::string("/v1/resolve?name=") + host + "&region=r&zone=" + domain;
            const auto addresses = rig.addresses_for(target);
            CHECK(addresses.size() == 64);
            CHECK(rig.addresses_for(target) == addresses); // callers close connections to missing addresses
            returned.insert(addresses.begin(), addresses.end());
        }
    }
    CHECK(returned.size() >= gateways - 5);
}
