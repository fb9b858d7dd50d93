#include "gateway/load_exchange.h"

#include "net/pause.h"
#include "net/spawn.h"
#include "util/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Interval of load datagrams in a fleet of up to `base_fleet_size` gateways. It grows with the fleet, so that a
/// gateway receives about the same number of datagrams at any size.
constexpr milliseconds base_interval{60};
constexpr std::size_t base_fleet_size = 8;

/// Maximum interval. Older loads are useless, because most turns take 0.4 to 0.7 s.
constexpr milliseconds max_interval{250};

/// Unchanged loads are sent again after this time, before they expire at the receivers.
constexpr milliseconds repeat_interval{700};

/// Receivers of a load datagram in a large fleet. With broadcasts four times a second, 300 gateways sent 190 KB a
/// second each. A gateway receives the loads of two fifths of 300 others before they expire.
constexpr std::size_t receivers_in_large_fleet = 24;

/// Maximum targets in one datagram.
constexpr std::size_t max_targets_per_datagram = 60;

} // namespace

void load_exchange::start()
{
    m_context.fleet.on(datagram_kind::loads, [this](const auto& sender, const auto& body) { on_loads(sender, body); });
    spawn_restarting(
        m_context.loop, [this] { return run(); }, "loads");
}

asio::awaitable<void> load_exchange::run()
{
    while (true) {
        const std::size_t fleet = std::max(base_fleet_size, m_context.fleet.usable().size());
        const milliseconds interval = base_interval * static_cast<int>(fleet) / static_cast<int>(base_fleet_size);
        co_await pause(m_context.loop, std::min(interval, max_interval));
        std::vector<target_load> target_loads = m_context.loads.local_loads(steady_now());
        const bool large = m_context.fleet.is_large();
        // Receivers treat the gateways that they receive loads from as a sample of the fleet, so idle ones send too.
        m_context.loads.set_sampled_peer_count(large ? fleet - 1 : 0);
        const bool repeat = large || (!target_loads.empty() && steady_now() - m_sent_at > repeat_interval);
        if (target_loads == m_sent && !repeat) {
            continue;
        }
        if (target_loads.size() > max_targets_per_datagram) {
            target_loads.resize(max_targets_per_datagram);
        }
        nlohmann::json body = nlohmann::json::array();
        for (const target_load& item : target_loads) {
            body.push_back({item.id, item.in_flight, item.uncached_tokens, item.failures});
        }
        if (large) {
            m_context.fleet.send_to_random(receivers_in_large_fleet, datagram_kind::loads, body);
        }
        else {
            m_context.fleet.broadcast(datagram_kind::loads, body);
        }
        m_sent = std::move(target_loads);
        m_sent_at = steady_now();
    }
}

void load_exchange::on_loads(const std::string& sender, const nlohmann::json& body)
{
    try {
        std::vector<target_load> target_loads;
        for (const nlohmann::json& item : body) {
            target_loads.push_back({item.at(0).get<std::string>(), item.at(1).get<std::uint32_t>(),
                                    item.at(2).get<std::uint32_t>(), item.at(3).get<std::uint32_t>()});
        }
        m_context.loads.on_peer_loads(sender, target_loads, steady_now());
    }
    catch (const nlohmann::json::exception& error) {
        log(log_part::membership, log_level::warning, "A load datagram is malformed.", field("sender", sender),
            field("reason", std::string_view(error.what())));
    }
}

} // namespace lagoonferry
