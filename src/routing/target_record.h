#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace lagoonferry {

/// Entry of a target in the target list, written by the target.
struct target_record {
    std::string id;
    std::string service;
    std::string address; ///< IP:PORT
    std::string failure_domain;
    std::uint64_t start = 0; ///< start time of its process in ms since 1970; distinguishes two starts with the same id
    std::uint64_t sequence = 0; ///< number of its reports since that start
    std::uint32_t slots = 1;    ///< maximum number of concurrent requests
    bool draining = false;
    std::chrono::milliseconds slow_start_left{0}; ///< remaining time of the slow phase after its start

    /// Returns whether both records agree in the fields that matter to gateways. Ignores `sequence`, `id` and
    /// `slow_start_left`.
    bool has_same_properties(const target_record& other) const
    {
        return service == other.service && address == other.address && failure_domain == other.failure_domain &&
               start == other.start && slots == other.slots && draining == other.draining;
    }
};

} // namespace lagoonferry
