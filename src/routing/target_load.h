#pragma once

#include <cstdint>
#include <string>

namespace lagoonferry {

/// The requests of one gateway at one target.
struct target_load {
    std::string id;
    std::uint32_t in_flight = 0;
    std::uint32_t uncached_tokens = 0; ///< of prompts whose first event has not come
    std::uint32_t failures = 0;        ///< in a row, if the last one is recent

    bool operator==(const target_load&) const = default;
};

} // namespace lagoonferry
