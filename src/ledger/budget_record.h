#pragma once

#include "ledger/session_location.h"
#include "util/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace lagoonferry {

/// The token usage of one program.
struct budget_record {
    struct reservation {
        std::uint64_t tokens = 0; ///< upper bound of the tokens that the turn generates
        timestamp since{};
    };

    std::uint64_t budget = 0;
    std::uint64_t used = 0;                                   ///< by turns that have ended
    std::map<std::string, reservation, std::less<>> reserved; ///< by request id
    std::uint64_t granted_for_owner = 0; ///< part of `used` that this process granted while the owner did not reply
    std::uint64_t high_water_mark = 0;   ///< total usage that the stored high-water mark allows
    std::uint64_t unpersisted_limit = 0; ///< total usage that is allowed without a stored high-water mark
    std::uint64_t high_water_mark_revision = 0; ///< revision of the high-water mark, as last seen by this process
    std::map<std::string, session_location, std::less<>> sessions; ///< location of each session
    timestamp last_use{};

    /// Returns the usage if every running turn generates all the tokens reserved for it.
    std::uint64_t committed() const
    {
        std::uint64_t sum = used;
        for (const auto& [id, item] : reserved) {
            sum += item.tokens;
        }
        return sum;
    }
};

} // namespace lagoonferry
