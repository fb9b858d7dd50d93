#pragma once

#include "net/http_types.h"
#include "net/pause.h"
#include "util/log.h"

#include <boost/asio/co_spawn.hpp>

#include <exception>
#include <functional>
#include <string_view>

namespace lagoonferry {

/// Starts a detached coroutine on the loop. An exception ends only this coroutine and is logged. `name` must outlive
/// the coroutine.
inline void spawn(const asio::any_io_executor& loop, asio::awaitable<void> task, std::string_view name)
{
    asio::co_spawn(loop, std::move(task), [name](const std::exception_ptr& thrown) {
        try {
            if (thrown) {
                std::rethrow_exception(thrown);
            }
        }
        catch (const std::exception& error) {
            log(log_part::main, log_level::error, "A task ended with an exception.", field("task", name),
                field("reason", std::string_view(error.what())));
        }
    });
}

/// Runs the coroutine that `start` returns, and starts it again a second after it has ended with an exception.
/// `name` must outlive the coroutine.
inline asio::awaitable<void> run_restarting(asio::any_io_executor loop, std::function<asio::awaitable<void>()> start,
                                            std::string_view name)
{
    constexpr std::chrono::seconds restart_pause{1};
    while (true) {
        try {
            co_await start();
            co_return;
        }
        catch (const std::exception& error) {
            log(log_part::main, log_level::error, "A task failed and is started again.", field("task", name),
                field("reason", std::string_view(error.what())));
        }
        co_await pause(loop, restart_pause);
    }
}

/// Starts a detached coroutine that must run as long as the process, such as one that follows the store. After an
/// exception it is started again. `name` must outlive the coroutine.
inline void spawn_restarting(const asio::any_io_executor& loop, std::function<asio::awaitable<void>()> start,
                             std::string_view name)
{
    spawn(loop, run_restarting(loop, std::move(start), name), name);
}

} // namespace lagoonferry
