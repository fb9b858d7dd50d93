#pragma once

#include <cstdint>
#include <string>

namespace lagoonferry {

/// Where the last turn of a line of turns ran, and how much of its prompt and output that target keeps.
struct session_location {
    std::string target; ///< empty: not known
    std::uint32_t cached_tokens = 0;

    bool operator==(const session_location&) const = default;
};

} // namespace lagoonferry
