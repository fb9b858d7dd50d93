#include "gateway/fleet_membership.h"
#include "gateway/load_exchange.h"
#include "platform/http_platform_adapter.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

using namespace lagoonferry;
using std::chrono::milliseconds;

namespace {

constexpr std::uint16_t datagram_port = 17'580;
constexpr int others = 40;

gateway_settings settings_of(int number)
{
    gateway_settings settings;
    settings.id = "g" + std::to_string(number);
    settings.ip = "127.9.3." + std::to_string(number + 1);
    settings.failure_domain = "a";
    settings.callers = {settings.ip, 18'349};
    settings.datagram_port = datagram_port;
    settings.store = {"127.0.0.1", 9}; // nothing listens there
    return settings;
}

listed_instance listed(const gateway_settings& settings)
{
    return {settings.id,
            member_role::entry,
            {settings.ip, settings.callers.port, settings.datagram_port, 0},
            settings.failure_domain,
            false};
}

/// Sockets in place of other gateways, which count the datagrams of a kind and send no replies.
class silent_gateways {
public:
    explicit silent_gateways(asio::io_context& loop)
    {
        for (int n = 1; n <= others; ++n) {
            const gateway_settings settings = settings_of(n);
            all.push_back(listed(settings));
            m_sockets.emplace_back(loop, udp::endpoint(asio::ip::make_address(settings.ip), datagram_port));
            m_sockets.back().non_blocking(true);
        }
    }

    /// Returns the number of datagrams of a kind since the last call.
    std::size_t received(datagram_kind kind)
    {
        std::size_t count = 0;
        std::array<std::byte, 2'048> buf{};
        for (udp::socket& socket : m_sockets) {
            error_code ec;
            while (socket.receive(asio::buffer(buf), 0, ec) > 0 && !ec) {
                count += static_cast<datagram_kind>(buf[0]) == kind ? 1 : 0;
            }
        }
        return count;
    }

    std::vector<listed_instance> all;

private:
    std::vector<udp::socket> m_sockets;
};

} // namespace

// Heartbeats to all others were two thirds of the traffic of 300 gateways.
TEST_CASE("in a large fleet a heartbeat is sent to a few others only")
{
    for (const bool large : {false, true}) {
        asio::io_context loop{1};
        silent_gateways silent(loop);
        gateway_settings settings = settings_of(0);
        settings.max_full_mesh_gateways = large ? 10 : 100;
        fleet_membership fleet(loop.get_executor(), settings);
        fleet.add_members(silent.all);
        REQUIRE(fleet.start());
        loop.run_for(milliseconds(1'300)); // four rounds
        const std::size_t count = silent.received(datagram_kind::heartbeat);
        CHECK(count >= (large ? 8 : others));
        CHECK(count <= (large ? 4 * 4 : 4 * others));
    }
}

// Loads sent four times a second to each of 299 others would be 190 KB a second. An idle gateway that sends nothing
// would count as one whose datagrams were not received.
TEST_CASE("in a large fleet loads are sent to a part of the others, also by an idle gateway")
{
    asio::io_context loop{1};
    silent_gateways silent(loop);
    gateway_settings settings = settings_of(0);
    settings.max_full_mesh_gateways = 10;
    platform::http_platform_adapter adapter;
    gateway_context context(loop.get_executor(), settings, adapter);
    context.fleet.add_members(silent.all);
    REQUIRE(context.fleet.start());
    load_exchange loads(context);
    loads.start();
    loop.run_for(milliseconds(1'100)); // the interval is 250 ms
    const std::size_t count = silent.received(datagram_kind::loads);
    CHECK(count >= 2 * 24);
    CHECK(count <= 5 * 24);
}

// With gossip in place of heartbeats to all, the gateways that receive the request for losses may not know the new
// incarnation yet. The restarted gateway would then take all programs without a local record for new ones, and exceed
// their budgets.
TEST_CASE("a restarted gateway counts as lost even if no other gateway knows its new incarnation")
{
    asio::io_context loop{1};
    gateway_settings first = settings_of(0);
    first.first_start = true;
    fleet_membership informed(loop.get_executor(), first);
    fleet_membership restarted(loop.get_executor(), settings_of(1));
    const std::vector<listed_instance> all{listed(first), listed(settings_of(1))};
    informed.add_members(all);
    restarted.add_members(all);
    REQUIRE(informed.start());
    REQUIRE(restarted.start());
    loop.run_for(milliseconds(2'500)); // its records count as complete 1.5 s after the reply
    CHECK(informed.is_replica_of("program", 2));
    CHECK_FALSE(restarted.is_replica_of("program", 2));
}

// The list of usable members is rebuilt every 50 ms (disabled here), or at once when a member changes.
TEST_CASE("a leaving gateway is no longer usable as soon as its heartbeat says that it leaves")
{
    asio::io_context loop{1};
    fleet_timing timing;
    timing.heartbeat_interval = milliseconds(200);
    timing.silence_check_interval = milliseconds(60'000);
    fleet_membership staying(loop.get_executor(), settings_of(0), timing);
    fleet_membership leaving(loop.get_executor(), settings_of(1), timing);
    const std::vector<listed_instance> all{listed(settings_of(0)), listed(settings_of(1))};
    staying.add_members(all);
    leaving.add_members(all);
    REQUIRE(staying.start());
    REQUIRE(leaving.start());
    loop.run_for(milliseconds(500));
    REQUIRE(staying.usable().size() == 2);
    loop.run_for(milliseconds(110)); // shortly after a heartbeat, which also rebuilds the list
    leaving.leave();
    loop.run_for(milliseconds(30));
    CHECK(staying.usable().size() == 1);
}
