#include "gateway/load_exchange.h"

#include "net/pause.h"
#include "net/spawn.h"
#include "util/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Interval for a fleet of up to `usual_fleet` gateways. It grows with the fleet, so that a gateway hears about the
/// same number of datagrams at any size.
constexpr milliseconds base_interval{60};
constexpr std::size_t usual_fleet = 8;

/// Older loads than this are of no use: most turns take 0.4 to 0.7 s.
constexpr milliseconds longest_interval{250};

/// Unchanged shares are told again after this time, before the others forget them.
constexpr milliseconds repeat_interval{700};

/// Gateways that are told at one time in a large fleet. With a word to all four times a second, 300 gateways sent 190
/// KB a second each. A gateway hears two fifths of 300 others within the time for which it counts what they told.
constexpr std::size_t told_in_large_fleet = 24;

/// Targets in one datagram.
constexpr std::size_t most_shares = 60;

} // namespace

void load_exchange::start()
{
    m_context.fleet.on(datagram_kind::loads, [this](const auto& sender, const auto& body) { on_told(sender, body); });
    spawn(m_context.loop, run(), "loads");
}

asio::awaitable<void> load_exchange::run()
{
    while (true) {
        const std::size_t fleet = std::max(usual_fleet, m_context.fleet.usable().size());
        const milliseconds interval = base_interval * static_cast<int>(fleet) / static_cast<int>(usual_fleet);
        co_await pause(m_context.loop, std::min(interval, longest_interval));
        std::vector<target_load> shares = m_context.loads.local_loads(steady_now());
        const bool large = m_context.fleet.is_large();
        // Others take the gateways that they hear for a sample of all, so idle ones tell as well.
        m_context.loads.set_sampled_peer_count(large ? fleet - 1 : 0);
        const bool repeat = large || (!shares.empty() && steady_now() - m_told_at > repeat_interval);
        if (shares == m_told && !repeat) {
            continue;
        }
        if (shares.size() > most_shares) {
            shares.resize(most_shares);
        }
        nlohmann::json body = nlohmann::json::array();
        for (const target_load& item : shares) {
            body.push_back({item.id, item.in_flight, item.uncached_tokens, item.failures});
        }
        if (large) {
            m_context.fleet.send_to_random(told_in_large_fleet, datagram_kind::loads, body);
        }
        else {
            m_context.fleet.broadcast(datagram_kind::loads, body);
        }
        m_told = std::move(shares);
        m_told_at = steady_now();
    }
}

void load_exchange::on_told(const std::string& sender, const nlohmann::json& body)
{
    try {
        std::vector<target_load> shares;
        for (const nlohmann::json& item : body) {
            shares.push_back({item.at(0).get<std::string>(), item.at(1).get<std::uint32_t>(),
                              item.at(2).get<std::uint32_t>(), item.at(3).get<std::uint32_t>()});
        }
        m_context.loads.on_peer_loads(sender, shares, steady_now());
    }
    catch (const nlohmann::json::exception& error) {
        log(log_part::membership, log_level::warning, "A datagram on loads cannot be read.", field("sender", sender),
            field("reason", std::string_view(error.what())));
    }
}

} // namespace lagoonferry
