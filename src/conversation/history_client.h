#pragma once

#include "conversation/history_peers.h"
#include "conversation/turn_table.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// What is known about a turn that a caller wants to continue.
enum class turn_lookup {
    found,
    does_not_exist, ///< no node can have it
    uncertain,      ///< nodes that may have it do not respond
};

/// Returns "found", "does_not_exist" or "uncertain". Thread-safe.
std::string_view to_string(turn_lookup result);

/// Keeps turns at the history nodes and finds them there. A turn is kept once one node more than may be lost has it on
/// its disk, or the platform's store has it, which is used while too few nodes respond. Runs on one event loop; not
/// thread-safe.
class history_client {
public:
    struct settings {
        std::string failure_domain;
        std::size_t tolerated_losses = 1; ///< nodes that may be lost at the same time
        std::size_t cache_bytes = 8'000'000;
    };

    /// `store` must outlive this object.
    history_client(const asio::any_io_executor& loop, settings values, store_client& store);

    /// Starts to follow the registry of nodes, once. Without it the client makes no calls.
    void start();

    /// Returns whether enough nodes or the store seem reachable to keep a turn.
    bool can_keep() const;

    struct found_chain {
        turn_lookup result = turn_lookup::uncertain;
        std::string text; ///< inputs and outputs of all turns up to the requested one, in order
    };

    /// Finds a turn and those before it.
    asio::awaitable<found_chain> find(std::string id);

    /// Keeps a turn. Returns false if too few nodes have confirmed it in time; it may be kept nevertheless.
    asio::awaitable<bool> keep(turn_record record);

    /// Copies the turns of a node to the others, so that its machine can be removed. Returns true if that is done, or
    /// if `machine` is no node.
    asio::awaitable<bool> empty_node(std::string machine);

    /// The nodes that are known.
    const history_peers& nodes() const { return m_peers; }

private:
    struct lookup_state {
        explicit lookup_state(const asio::any_io_executor& loop) : wake(loop) {}
        asio::steady_timer wake;
        std::size_t pending = 0;
        std::size_t not_found = 0;
        std::vector<turn_record> turns;
    };
    struct put_state {
        explicit put_state(const asio::any_io_executor& loop) : wake(loop) {}
        asio::steady_timer wake;
        turn_record record;
        deadline until;
        std::size_t pending = 0;
        std::size_t confirmed = 0;
        bool store_asked = false;
        bool in_store = false;
    };
    using peer_ptr = std::shared_ptr<history_peer>;

    asio::awaitable<void> follow_registry();
    asio::awaitable<void> ask(peer_ptr peer, std::string id, std::shared_ptr<lookup_state> state);
    asio::awaitable<void> put_at(peer_ptr peer, std::shared_ptr<put_state> state);
    asio::awaitable<void> put_in_store(std::shared_ptr<put_state> state);
    asio::awaitable<std::optional<std::uint64_t>> lease_for(std::chrono::milliseconds retention);
    asio::awaitable<store_status> find_in_store(std::string id, std::vector<turn_record>& turns);
    found_chain remember(std::span<const turn_record> turns);
    bool enough_nodes() const;
    std::string encode_with_chain(const turn_record& record) const;
    std::vector<peer_ptr> by_preference() const;
    std::string text_of(std::string_view id) const;
    std::size_t needed_copies() const { return m_settings.tolerated_losses + 1; }

    asio::any_io_executor m_loop;
    settings m_settings;
    store_client& m_store;
    history_peers m_peers;
    turn_table m_cache;
    std::uint64_t m_lease = 0;       ///< of turns in the store
    deadline m_lease_usable_until{}; ///< turns that are written later would not be kept long enough
    bool m_started = false;
};

} // namespace lagoonferry
