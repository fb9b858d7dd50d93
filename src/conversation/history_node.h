#pragma once

#include "conversation/history_messages.h"
#include "conversation/history_peers.h"
#include "conversation/turn_log.h"
#include "conversation/turn_table.h"
#include "net/request_server.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lagoonferry {

/// Settings of a history node.
struct history_node_settings {
    std::string id;
    std::string ip;
    std::uint16_t port = 0;
    std::string failure_domain;
    std::string data_folder;
    bool first_start = false;           ///< first start of the whole system, so no turn exists
    std::size_t tolerated_losses = 1;   ///< nodes that may be lost at the same time
    std::size_t max_bytes = 50'000'000; ///< limit on the turns in memory
};

/// Keeps turns on its disk and in memory, and serves them to gateways and to other nodes. All nodes get all turns; a
/// node that starts copies what it lacks from the others. Runs on one event loop; not thread-safe.
class history_node {
public:
    /// `peers` must outlive this object.
    history_node(asio::any_io_executor loop, history_node_settings settings, history_peers& peers);

    /// Reads the disk, starts to listen and joins the other nodes. Returns false if the port cannot be opened.
    bool start();

    /// Executes one call. Public for tests.
    asio::awaitable<server_response> handle(std::string_view path, std::string_view body);

    /// Returns whether this node has every turn that it should have, so that a turn that it lacks does not exist here.
    bool complete() const { return m_complete; }

    std::uint16_t port() const { return m_server.port(); }
    const turn_table& turns() const { return m_table; }

private:
    struct pending_put {
        explicit pending_put(const asio::any_io_executor& loop) : wake(loop) {}
        asio::steady_timer wake;
        std::vector<std::pair<turn_record, std::uint64_t>> records; ///< with their segments
        std::optional<unsigned> status;
    };

    asio::awaitable<unsigned> put(std::vector<turn_record> records);
    void sync_pending();
    server_response read_chain(std::string_view id) const;
    server_response read_page(std::uint64_t from) const;
    asio::awaitable<unsigned> copy_from(std::string id);
    asio::awaitable<bool> copy_all(std::shared_ptr<history_peer> peer);
    asio::awaitable<void> copy_missing(bool counts);
    asio::awaitable<void> join();
    asio::awaitable<void> expire_turns();
    bool has_copied_enough() const;

    asio::any_io_executor m_loop;
    history_node_settings m_settings;
    history_peers& m_peers;
    request_server m_server;
    turn_table m_table;
    turn_log m_log;
    std::vector<std::shared_ptr<pending_put>> m_pending;
    std::set<std::string, std::less<>> m_copied; ///< nodes whose turns were copied since the start
    timestamp m_started{};
    bool m_complete = false;
    bool m_lost_disk = false;      ///< the disk was empty at the start, and not all turns are copied yet
    bool m_was_registered = false; ///< this node existed before its present start
    bool m_retiring = false;       ///< takes no further turns
};

} // namespace lagoonferry
