#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

/// A block of a prompt. Requests that share a block share its id.
struct prompt_block {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Metadata that a caller sends in the header of a request.
struct call_metadata {
    std::string request_id;
    std::string api_key; ///< of the client account; never logged or forwarded
    std::string program;
    std::string previous_turn; ///< the request id of the turn that this one continues; empty for the first turn
    std::string session;       ///< a sequence of turns of the program
    std::optional<std::chrono::milliseconds> deadline;          ///< time for which the caller waits
    std::optional<std::chrono::milliseconds> program_time_left; ///< time in which the program should finish
    std::optional<std::uint64_t> token_budget;                  ///< for all turns of the program together
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    std::vector<prompt_block> prompt;           ///< in order; the last block is specific to the request or its session
    std::optional<std::uint64_t> last_event_id; ///< the last event that the caller has received, if it resumes a stream
};

} // namespace lagoonferry
