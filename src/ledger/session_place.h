#pragma once

#include <cstdint>
#include <string>

namespace lagoonferry {

/// Where the last turn of a line of turns ran, and how much of its prompt and output that target keeps.
struct session_place {
    std::string target; ///< empty: not known
    std::uint32_t kept_tokens = 0;

    bool operator==(const session_place&) const = default;
};

} // namespace lagoonferry
