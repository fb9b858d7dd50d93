#pragma once

#include "net/http_types.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace lagoonferry {

/// Suspends the calling coroutine for `duration`. The event loop is not blocked.
inline asio::awaitable<void> pause(asio::any_io_executor loop, std::chrono::milliseconds duration)
{
    asio::steady_timer timer(loop, duration);
    co_await timer.async_wait(use_nothrow_awaitable);
}

} // namespace lagoonferry
