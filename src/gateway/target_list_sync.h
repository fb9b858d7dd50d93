#pragma once

#include "gateway/gateway_context.h"
#include "routing/change_rebroadcaster.h"

#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json_fwd.hpp>

#include <set>
#include <span>
#include <string>
#include <vector>

namespace lagoonferry {

/// Keeps the list of targets up to date: the gateway of the lowest rank reads the changes from the store and sends them
/// to the others, and gateways of higher ranks replace it when it falls silent. Runs on one event loop; not
/// thread-safe.
class target_list_sync {
public:
    explicit target_list_sync(gateway_context& context);

    /// Starts the synchronization. Call once.
    void start();

private:
    asio::awaitable<void> run();
    asio::awaitable<bool> read_all(bool send_to_others);
    asio::awaitable<bool> read_changes(bool send_to_others, std::chrono::milliseconds wait);
    bool is_leader() const;
    std::vector<target_change> decode(std::span<const store_item> items);
    void send_changes(std::uint64_t from, std::span<const target_change> new_changes);
    void send_datagrams(std::uint64_t from, std::span<const target_change> new_changes);
    void send_or_relay(const nlohmann::json& body);
    std::vector<std::string> relays() const;
    void on_changes(const nlohmann::json& body);
    void log_changes(std::span<const target_change> new_changes, std::string_view source);
    timestamp max_age() const;
    timestamp next_poll_at() const;

    gateway_context& m_context;
    asio::steady_timer m_wake;
    change_rebroadcaster m_repeater;
    timestamp m_fresh_at{}; ///< when the list was last known to be current
    timestamp m_last_call_at{-1};
    bool m_loaded = false;
    bool m_behind = false;                ///< received changes start at a revision later than the known one
    std::uint64_t m_covered_revision = 0; ///< complete up to here; may exceed the list's revision
    std::size_t m_send_count = 0;         ///< sends of changes so far; selects relays round-robin
    std::uint64_t m_received_from = 0;    ///< latest start of changes that were received while behind
    std::set<std::string, std::less<>> m_unusable_entries; ///< entries for which a warning was logged
};

} // namespace lagoonferry
