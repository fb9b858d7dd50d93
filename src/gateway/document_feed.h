#pragma once

#include "gateway/gateway_board.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <span>
#include <string>

namespace lagoonferry {

/// Keeps the routing document in force up to date, and acknowledges the operator's orders to empty a machine. Runs on
/// one event loop; not thread-safe.
class document_feed {
public:
    explicit document_feed(gateway_board& board);

    /// Starts the reading. Call once.
    void start();

private:
    asio::awaitable<void> run();
    asio::awaitable<bool> read_all();
    asio::awaitable<bool> wait_for_changes();
    asio::awaitable<void> read_newer(std::uint64_t version);
    asio::awaitable<bool> read_from_peers();
    void take_text(const std::string& text, std::uint64_t revision, std::string_view source);
    asio::awaitable<void> acknowledge_emptying(std::string machine, std::uint64_t order_revision);
    void take(std::span<const store_item> items, std::string_view source);

    gateway_board& m_board;
    std::uint64_t m_revision = 0;
    bool m_loaded = false;
    bool m_reading_newer = false;
    std::size_t m_next_peer = 0;
    std::map<std::string, std::uint64_t, std::less<>> m_emptying; ///< revision of the newest order by machine
};

} // namespace lagoonferry
