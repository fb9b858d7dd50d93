#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace lagoonferry {

/// The load that a target tells in an answer.
struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    double work_factor = 1; ///< how long work takes on its machine at the moment; 1 is usual
};

/// What a target says in the head of an answer.
struct response_metadata {
    std::string request_id; ///< of the request that is answered; empty if it names none
    bool signed_by_target = false;
    bool not_executed = false; ///< the target did not and will not run the request
    bool encoded = false;      ///< the body has a content encoding, so it is not the target's
    std::optional<reported_load> load;
    std::optional<std::chrono::seconds> keep_alive;
};

} // namespace lagoonferry
