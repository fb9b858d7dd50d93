#pragma once

#include "gateway/platform_adapter.h"
#include "net/client_connection.h"
#include "store/store_types.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// Client of the platform's key-value store. Each call has a timeout; failed calls are not retried here. Runs on one
/// event loop; not thread-safe.
class store_client {
public:
    /// Timeout of a call; a watch may take its waiting time in addition. The store responds in 4 ms, and in 240 ms when
    /// it is slow.
    static constexpr std::chrono::milliseconds call_timeout{1'000};

    /// Called at the end of each call with its name and result, for metrics and health checks of the store.
    using call_observer = std::function<void(std::string_view call, store_status result)>;

    /// `adapter` encodes requests and decodes responses; it must outlive the client.
    store_client(asio::any_io_executor loop, const platform_adapter& adapter, call_observer observer);

    /// Sets the store's address. If it changes, idle connections to the previous address are closed.
    void set_address(const tcp::endpoint& address);

    /// Reads all items whose key begins with a prefix, page by page. The result has the revision of the first page, so
    /// that a watch from this revision misses no change.
    /// With `may_be_stale` the items may be seconds old; such a read is cheaper.
    asio::awaitable<store_reply> read_all(std::string_view prefix, bool may_be_stale = false);

    asio::awaitable<store_reply> read(std::string_view key);

    /// Waits at most `wait` for changes after the revision `after`, below a prefix. The call fails if there is no
    /// response within `response_timeout` after the wait.
    asio::awaitable<store_reply> watch(std::string_view prefix, std::uint64_t after, std::chrono::milliseconds wait,
                                       std::chrono::milliseconds response_timeout = call_timeout);

    /// Writes all items in one transaction if all conditions hold.
    asio::awaitable<store_reply> write(std::span<const store_condition> conditions, std::span<const store_item> items);

    /// Opens a lease that ends by itself after `ttl`, counted from the arrival of the call.
    asio::awaitable<store_reply> open_lease(std::chrono::milliseconds ttl);

    /// Returns whether several consecutive calls failed, the last of them recently. A caller that cannot wait for a
    /// timeout then proceeds without the store.
    bool is_unreachable() const;

private:
    asio::awaitable<store_reply> call(std::string_view name, http_request request, std::chrono::milliseconds timeout);
    std::unique_ptr<client_connection> take_idle();

    asio::any_io_executor m_loop;
    const platform_adapter& m_adapter;
    call_observer m_observer;
    tcp::endpoint m_address;
    std::string m_host;
    std::vector<std::unique_ptr<client_connection>> m_idle;
    int m_consecutive_failures = 0; ///< with the status `unavailable` or `unknown`
    deadline m_last_failure_at{};
};

} // namespace lagoonferry
