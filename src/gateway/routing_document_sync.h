#pragma once

#include "gateway/gateway_context.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// Keeps the routing document in force up to date, and acknowledges the operator's orders to retire a machine. A few
/// gateways of each failure domain watch the store and announce new versions in heartbeats; the others then fetch the
/// document from them. A gateway that receives no such announcement watches the store itself. Runs on one event loop;
/// not thread-safe.
class routing_document_sync {
public:
    explicit routing_document_sync(gateway_context& context);

    /// Starts the synchronization. Call once.
    void start();

private:
    asio::awaitable<void> run();
    timestamp announcement_age_limit() const;
    bool should_watch() const;
    bool is_watcher() const;
    void set_watching(bool watches);
    void set_confirmed(bool confirmed);
    asio::awaitable<bool> read_all();
    std::chrono::milliseconds watch_timeout() const;
    asio::awaitable<bool> wait_for_changes();
    void on_announcement(std::uint64_t version, const std::string& sender);
    std::uint64_t present_version() const;
    asio::awaitable<void> fetch_newer();
    asio::awaitable<void> fetch_from_announcer(std::string id);
    asio::awaitable<bool> read_document();
    std::vector<asio::ip::address> select_peers();
    asio::awaitable<void> fetch_from_peers();
    asio::awaitable<bool> fetch_document(asio::ip::address ip);
    std::size_t acknowledger_rank(const std::string& machine) const;
    void apply_document(const std::string& text, std::uint64_t revision, std::string_view source);
    void record_in_force(std::uint64_t former, std::uint64_t revision, std::string_view source);
    asio::awaitable<void> acknowledge_retirement(std::string machine, std::uint64_t order_revision);
    void apply_items(std::span<const store_item> items, std::string_view source);

    gateway_context& m_context;
    std::uint64_t m_revision = 0;
    bool m_loaded = false;
    bool m_fetching_newer = false;         ///< `fetch_newer` runs
    asio::steady_timer m_fetch_progress;   ///< cancelled when a request of `fetch_newer` has ended
    timestamp m_peer_asked_at{};           ///< when another gateway was last asked for a document
    timestamp m_fetch_progress_at{};       ///< when a part of a document last arrived from another gateway
    std::uint64_t m_announced_version = 0; ///< the newest one that another gateway announced
    std::vector<std::string> m_announcers; ///< gateways that announced a newer document and were not asked yet
    std::size_t m_peer_requests = 0;       ///< requests of `fetch_newer` in progress
    timestamp m_document_read_at{};        ///< when `read_document` last called the store
    timestamp m_announced_at{};            ///< when a newer document was first announced; 0 if none is known
    bool m_watches_store = true;           ///< this gateway watches the store itself
    std::size_t m_next_peer = 0;
    std::map<std::string, std::uint64_t, std::less<>>
        m_retire_orders; ///< revision of the newest retire order by machine
};

} // namespace lagoonferry
