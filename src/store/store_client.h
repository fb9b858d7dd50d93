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

/// Calls the platform's store. Each call has a time-out and none is repeated here. Runs on one event loop; not
/// thread-safe.
class store_client {
public:
    /// Hears the end of each call: its name and result, for metrics and the view on the store's health.
    using call_observer = std::function<void(std::string_view call, store_status result)>;

    /// `speech` must outlive the client.
    store_client(asio::any_io_executor loop, const platform_adapter& speech, call_observer observer);

    /// Sets the store's address. Kept connections to a former one are closed.
    void set_address(const tcp::endpoint& address);

    /// Reads all items below a prefix, page after page. The revision is that of the first page, so that a watch from
    /// there misses nothing.
    asio::awaitable<store_reply> read_all(std::string_view prefix);

    asio::awaitable<store_reply> read(std::string_view key);

    /// Waits at most `wait` for changes behind a revision.
    asio::awaitable<store_reply> watch(std::string_view prefix, std::uint64_t after, std::chrono::milliseconds wait);

    /// Writes all items if all conditions hold.
    asio::awaitable<store_reply> write(std::span<const store_condition> conditions, std::span<const store_item> items);

    /// Returns whether several calls in a row had no answer and the last one is recent. A caller that cannot wait does
    /// without the store then.
    bool is_unreachable() const;

private:
    asio::awaitable<store_reply> call(std::string_view name, http_request request, std::chrono::milliseconds limit);
    std::unique_ptr<client_connection> take_idle();

    asio::any_io_executor m_loop;
    const platform_adapter& m_speech;
    call_observer m_observer;
    tcp::endpoint m_address;
    std::string m_host;
    std::vector<std::unique_ptr<client_connection>> m_idle;
    int m_failures = 0; ///< calls in a row that were refused or had no answer
    deadline m_failed_at{};
};

} // namespace lagoonferry
