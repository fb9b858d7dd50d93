#pragma once

#include "program/action.h"

#include <string>
#include <string_view>

namespace lagoonferry {

/// Identifies where a completion was generated.
struct completion_origin {
    std::string program;
    std::string model;
    std::string instance; ///< the entry instance that owns the program
    std::string target;   ///< the engine; empty if a stored completion is replayed
};

/// Returns the body of a chat completion that is not streamed. Thread-safe, as are all functions of this header.
std::string completion_json(const completion_origin& origin, const success& done);

/// Returns the server-sent event of one token.
std::string stream_token_event(const completion_origin& origin, std::string_view token);

/// Returns the final events of a stream whose text has been sent: tool calls, finish reason, turn and [DONE].
std::string stream_final_events(const completion_origin& origin, const success& done);

/// Returns all events of a stored completion that is replayed.
std::string replayed_stream(const completion_origin& origin, const success& done);

} // namespace lagoonferry
