#pragma once

#include "backends/call_counts.h"
#include "backends/engine_answer.h"
#include "backends/engine_call.h"
#include "backends/engine_report.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonferry {

/// A control command to an engine. `kind` is "load_model", "unload_model", "load_adapter", "set_version" or "set_role".
struct engine_order {
    std::string kind;
    std::string name;
    std::optional<fencing_token> fence;
};

/// The result of an order. An answered order was accepted if the status is 200 and refused otherwise (409: stale
/// fencing token).
struct engine_order_result {
    call_end end = call_end::not_sent;
    int http_status = 0;
    failure reason;
};

/// Client of model engines. Every method is thread-safe, and many streams can run concurrently. No method retries a
/// call. All methods except `stream` wait at most `timeout` for the response and as long again for a new connection.
class engine_client {
public:
    /// Receives the text of one token; returning false ends the stream as cancelled.
    using token_callback = std::function<bool(std::string_view text)>;

    engine_client() = default;
    engine_client(const engine_client&) = delete;
    engine_client& operator=(const engine_client&) = delete;
    virtual ~engine_client() = default;

    /// Runs one completion and returns when its stream has ended. `on_token` runs on the calling thread.
    virtual engine_answer stream(const engine_call& call, const token_callback& on_token) = 0;

    /// Ends a running `stream` of this client with this call id, if there is one, and requests the engine to cancel the
    /// call. May be called from any thread. `answered` means that the engine no longer runs the call if it had received
    /// the call; a call that arrives later ends when its connection closes.
    virtual call_end cancel(const std::string& address, const std::string& call_id,
                            std::chrono::milliseconds timeout) = 0;

    /// Drops the program's prefix from the engine's cache and returns the number of released tokens.
    virtual std::optional<std::uint64_t> release(const std::string& address, const std::string& program,
                                                 std::chrono::milliseconds timeout, failure& reason) = 0;

    /// Reads the engine's latest load report, which lags behind its actual load.
    virtual std::optional<engine_load> load(const std::string& address, std::chrono::milliseconds timeout,
                                            failure& reason) = 0;

    /// Reads the published cache events with a sequence number above `after`.
    virtual std::optional<engine_cache_events> cache_events(const std::string& address, std::uint64_t after,
                                                            std::chrono::milliseconds timeout, failure& reason) = 0;

    /// Reads the current contents of the engine's prefix cache, in tokens by program.
    virtual std::optional<engine_cache_state> cache_state(const std::string& address, std::chrono::milliseconds timeout,
                                                          failure& reason) = 0;

    /// Reads a program's cached prefix as an opaque string for `import_cache` on another engine of the same model.
    virtual std::optional<std::string> export_cache(const std::string& address, const std::string& program,
                                                    std::chrono::milliseconds timeout, failure& reason) = 0;

    /// Stores an exported prefix. Returns the program's cached tokens afterwards.
    virtual std::optional<std::uint64_t> import_cache(const std::string& address, const std::string& exported,
                                                      std::chrono::milliseconds timeout, failure& reason) = 0;

    /// Sends a control command.
    virtual engine_order_result order(const std::string& address, const engine_order& order,
                                      std::chrono::milliseconds timeout) = 0;
};

} // namespace lagoonferry
