#pragma once

#include "util/time.h"

#include <cstdint>
#include <map>

namespace lagoonferry {

/// What was granted of the request limit of one client account. Each process counts its grants in a series of its own,
/// and counts only grow, so records of several processes can be joined without losing a grant or counting it twice.
struct request_record {
    struct series {
        std::uint64_t granted = 0;
        std::uint64_t returned = 0; ///< granted requests that no target has run
        timestamp grown_at{};       ///< when this process last saw one of the counts grow
    };

    std::map<std::uint64_t, series> grants; ///< by the id that the granting process has chosen
    double level = 0;                       ///< requests that may be granted now; below 0: granted ahead of time
    timestamp as_of{};                      ///< time of `level`

    /// Adds what accrues at `rate_per_s` until `now`, up to `capacity`. A level above the capacity is reduced to it.
    void refill(double rate_per_s, double capacity, timestamp now);
};

/// Adds the grants that `other` knows to `record`. Both levels must be of the same time. Without a grant the level
/// would be higher by no more than this grant, so each level less the grants that its record lacked is a lower bound;
/// the level becomes the higher one. Joining a record again changes nothing.
void join(request_record& record, const request_record& other, timestamp now);

} // namespace lagoonferry
