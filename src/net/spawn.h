#pragma once

#include "net/http_types.h"
#include "util/log.h"

#include <boost/asio/co_spawn.hpp>

#include <exception>
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

} // namespace lagoonferry
