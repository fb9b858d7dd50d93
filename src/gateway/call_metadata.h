#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

/// A part of a prompt. Requests that share a part share its id.
struct prompt_block {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What a caller says of one request.
struct call_metadata {
    std::string request_id;
    std::string program;
    std::string session;                                        ///< a line of turns of the program
    std::optional<std::chrono::milliseconds> deadline;          ///< how long the caller waits
    std::optional<std::chrono::milliseconds> program_time_left; ///< until the program should be finished
    std::optional<std::uint64_t> token_budget;                  ///< for all turns of the program
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    std::vector<prompt_block> prompt; ///< in order; the last part is the request's own or its session's
    std::optional<std::uint64_t> last_event_id;
};

} // namespace lagoonferry
