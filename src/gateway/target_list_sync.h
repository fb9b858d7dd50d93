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

/// Keeps the list of targets up to date: the gateway with the oldest right to ask reads the changes from the store and
/// tells the others. Runs on one event loop; not thread-safe.
class target_list_sync {
public:
    explicit target_list_sync(gateway_context& context);

    /// Starts the reading. Call once.
    void start();

private:
    asio::awaitable<void> run();
    asio::awaitable<bool> read_all(bool tell_others);
    asio::awaitable<bool> read_changes(bool tell_others, std::chrono::milliseconds wait);
    bool leads() const;
    std::vector<target_change> decode(std::span<const store_item> items);
    void tell_news(std::uint64_t from, std::span<const target_change> news);
    void tell(std::uint64_t from, std::span<const target_change> news);
    void send(const nlohmann::json& body);
    std::vector<std::string> relays() const;
    void on_told(const nlohmann::json& body);
    void note_news(std::span<const target_change> news, std::string_view source);
    timestamp due() const;

    gateway_context& m_context;
    asio::steady_timer m_wake;
    change_rebroadcaster m_repeater;
    timestamp m_fresh_at{}; ///< the list was known to be current
    timestamp m_called_at{-1};
    bool m_loaded = false;
    bool m_behind = false;         ///< news was told that starts behind what is known
    std::uint64_t m_covered = 0;   ///< revision up to which nothing is missing, besides that of the list
    std::size_t m_tellings = 0;    ///< so far; gives the turn of the relays
    std::uint64_t m_told_from = 0; ///< start of the news that was told while behind
    std::set<std::string, std::less<>> m_unreadable; ///< entries whose fault is logged
};

} // namespace lagoonferry
