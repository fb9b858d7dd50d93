#pragma once

#include "backends/fencing_token.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace lagoonferry {

/// A request for one completion on an engine. Serialized JSON is sent unchanged.
struct engine_call {
    std::string address; ///< "<ip>:<port>" of the engine
    std::string call_id; ///< unique for each attempt; identifies it in cancellations and late answers
    std::string program; ///< the engine caches the prompt under this id
    std::string model;
    std::string messages;               ///< JSON array of OpenAI messages
    std::string parameters;             ///< JSON object with further members such as `tools`; empty for none
    std::uint32_t max_tokens = 0;       ///< 0 leaves the limit to the engine
    int priority = 2;                   ///< 0 (highest) to 3
    std::optional<fencing_token> fence; ///< sent if set
    std::chrono::milliseconds pin{0};   ///< how long the engine must keep the program's cache after the call; 0: no pin
    std::string resume_text;            ///< partial answer received from another engine
    std::uint32_t resume_tokens = 0;    ///< tokens in `resume_text`; 0 starts a new answer

    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds idle_timeout{10'000};   ///< maximum wait for the first token and between two tokens
    std::chrono::milliseconds total_timeout{600'000}; ///< maximum duration of the whole stream
};

} // namespace lagoonferry
