#pragma once

#include <cstdint>
#include <string>

namespace lagoonferry {

/// The target of a session's last turn, and how many tokens of its prompt and output that target's prefix cache holds.
struct session_location {
    std::string target; ///< empty: unknown
    std::uint32_t cached_tokens = 0;

    bool operator==(const session_location&) const = default;
};

} // namespace lagoonferry
