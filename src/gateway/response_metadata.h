#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace lagoonferry {

/// The load that a target reports in a response.
struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    double work_factor = 1; ///< present duration of a unit of work on its machine, relative to the usual one
};

/// Metadata that a target sends in the header of a response.
struct response_metadata {
    std::string request_id; ///< of the request that this responds to; empty if the response names none
    bool signed_by_target = false;
    bool not_executed = false; ///< the target did not and will not run the request
    bool leaving = false;      ///< the target will stop and should get no further requests
    bool encoded = false;      ///< the body has a content encoding, which targets never apply themselves
    std::optional<reported_load> load;
    std::optional<std::chrono::seconds> keep_alive;
};

} // namespace lagoonferry
