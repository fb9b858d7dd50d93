#pragma once

#include <cstdint>
#include <string>

namespace lagoonferry {

/// The requests of one gateway at one target.
struct target_share {
    std::string id;
    std::uint32_t in_flight = 0;
    std::uint32_t unread_tokens = 0; ///< of prompts whose first event has not come
    std::uint32_t failures = 0;      ///< in a row, if the last one is recent

    bool operator==(const target_share&) const = default;
};

} // namespace lagoonferry
