#pragma once

#include "backends/engine_call.h"
#include "backends/http_connection.h"

namespace lagoonferry {

/// Builds the completion request of a call. In a resumed call, the partial answer is the last assistant message.
/// Precondition: `messages` is a JSON array and `parameters` is empty or a JSON object. Thread-safe.
http_request make_completion_request(const engine_call& call);

} // namespace lagoonferry
