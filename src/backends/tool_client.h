#pragma once

#include "backends/call_counts.h"
#include "backends/fencing_token.h"
#include "util/failure.h"

#include <chrono>
#include <optional>
#include <string>

namespace lagoonferry {

/// One call to a tool or plain service.
struct tool_call {
    std::string address; ///< "<ip>:<port>"
    std::string name;
    std::string call_id;
    std::string idempotency_key; ///< sent as `Idempotency-Key` unless empty
    std::string arguments;       ///< serialized JSON
    std::optional<fencing_token> fence;
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds deadline{10'000}; ///< maximum wait for the response; also sent as `X-Deadline-Ms`
};

/// The result of one call. If `end` is `answered`, the status and the body come from the target.
struct tool_result {
    call_end end = call_end::not_sent;
    int http_status = 0;
    std::string body;
    failure reason; ///< set unless answered
};

/// Client of tools and plain services. It never retries a call. Thread-safe.
class tool_client {
public:
    tool_client() = default;
    tool_client(const tool_client&) = delete;
    tool_client& operator=(const tool_client&) = delete;
    virtual ~tool_client() = default;

    /// Sends one call and waits for its response until the deadline.
    virtual tool_result call(const tool_call& call) = 0;
};

} // namespace lagoonferry
