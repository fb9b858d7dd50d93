#pragma once

#include "gateway/gateway_context.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// Keeps the routing document in force up to date, and acknowledges the operator's orders to empty a machine. A few
/// gateways of each failure domain watch the store and tell the others, which ask them for the document; a gateway that
/// hears none of them watches by itself. Runs on one event loop; not thread-safe.
class routing_document_sync {
public:
    explicit routing_document_sync(gateway_context& context);

    /// Starts the reading. Call once.
    void start();

private:
    asio::awaitable<void> run();
    bool must_watch() const;
    void note_source(bool watches);
    void set_confirmed(bool confirmed);
    asio::awaitable<bool> read_all();
    asio::awaitable<bool> wait_for_changes();
    asio::awaitable<void> read_newer(std::uint64_t version, std::string sender);
    std::vector<asio::ip::address> peers_to_ask(std::string_view first);
    asio::awaitable<bool> read_from_peers(std::string first);
    std::size_t acknowledging_rank(const std::string& machine) const;
    void take_text(const std::string& text, std::uint64_t revision, std::string_view source);
    asio::awaitable<void> acknowledge_emptying(std::string machine, std::uint64_t order_revision);
    void take(std::span<const store_item> items, std::string_view source);

    gateway_context& m_context;
    std::uint64_t m_revision = 0;
    bool m_loaded = false;
    bool m_reading_newer = false;
    bool m_watches = true; ///< by itself, not told by others
    std::size_t m_next_peer = 0;
    std::map<std::string, std::uint64_t, std::less<>> m_emptying; ///< revision of the newest order by machine
};

} // namespace lagoonferry
