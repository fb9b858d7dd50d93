#pragma once

#include <cstdint>
#include <string>

namespace lagoonferry {

/// Load of one gateway at one target.
struct target_load {
    std::string id;
    std::uint32_t in_flight = 0;
    std::uint32_t uncached_tokens = 0; ///< of the requests without a first event
    std::uint32_t failures = 0;        ///< consecutive; 0 if the last one is not recent

    bool operator==(const target_load&) const = default;
};

} // namespace lagoonferry
