#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace lagoonferry {

/// What a target says of itself in the list of targets.
struct target_record {
    std::string id;
    std::string service;
    std::string address; ///< IP:PORT
    std::string failure_domain;
    std::uint64_t start = 0;    ///< of its process, milliseconds since 1970; tells two starts under one id apart
    std::uint64_t sequence = 0; ///< counts its reports since that start
    std::uint32_t slots = 1;    ///< requests that it serves at once
    bool draining = false;
    std::chrono::milliseconds slow_start_left{0}; ///< how much longer it is slow after its start

    /// Returns whether another record differs in more than its sequence.
    bool equal_except_sequence(const target_record& other) const
    {
        return service == other.service && address == other.address && failure_domain == other.failure_domain &&
               start == other.start && slots == other.slots && draining == other.draining;
    }
};

} // namespace lagoonferry
