#pragma once

#include "conversation/history_peer.h"
#include "store/store_client.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// A response of a history node.
struct history_reply {
    unsigned status = 0;
    std::string body;
};

/// The history nodes that are registered in the platform's store, and calls to them. Runs on one event loop; not
/// thread-safe.
class history_peers {
public:
    /// `store` must outlive this object.
    history_peers(asio::any_io_executor loop, store_client& store);

    /// Reads the registered nodes. Nodes that are no longer registered are dropped once they are also not reachable.
    /// Returns false if the store does not respond. `may_be_stale` allows a cheaper read.
    asio::awaitable<bool> read_registry(bool may_be_stale);

    /// Registers a node, or removes its registration.
    asio::awaitable<bool> write_registration(const std::string& id, const tcp::endpoint& address,
                                             const std::string& failure_domain);
    asio::awaitable<bool> remove_registration(const std::string& id);

    /// Calls a node. Returns nothing if it does not respond in time. The call may have been executed then.
    asio::awaitable<std::optional<history_reply>> call(std::shared_ptr<history_peer> peer, std::string_view path,
                                                       std::string body, std::chrono::milliseconds timeout);

    /// The registered nodes, ordered by id.
    const std::map<std::string, std::shared_ptr<history_peer>, std::less<>>& all() const { return m_peers; }

    /// Returns whether the registry was read at least once.
    bool known() const { return m_known; }

private:
    void merge(std::span<const store_item> items);

    asio::any_io_executor m_loop;
    store_client& m_store;
    std::map<std::string, std::shared_ptr<history_peer>, std::less<>> m_peers;
    bool m_known = false;
};

} // namespace lagoonferry
