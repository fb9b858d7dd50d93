#pragma once

#include "net/http_types.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace lagoonferry {

/// Waits for `span` on the loop.
inline asio::awaitable<void> pause(asio::any_io_executor loop, std::chrono::milliseconds span)
{
    asio::steady_timer timer(loop, span);
    co_await timer.async_wait(use_nothrow_awaitable);
}

} // namespace lagoonferry
