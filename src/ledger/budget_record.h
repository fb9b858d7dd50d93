#pragma once

#include "ledger/session_location.h"
#include "util/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace lagoonferry {

/// The spending of one program, in tokens.
struct budget_record {
    struct reservation {
        std::uint64_t tokens = 0; ///< the most that the turn generates
        timestamp since{};
    };

    std::uint64_t budget = 0;
    std::uint64_t used = 0;                                   ///< by turns that have ended
    std::map<std::string, reservation, std::less<>> reserved; ///< by request id
    std::uint64_t granted_for_owner = 0;        ///< part of `used` that was decided here while the owner was silent
    std::uint64_t high_water_mark = 0;          ///< total spending that the store's mark allows
    std::uint64_t unpersisted_limit = 0;        ///< total spending that is allowed without a mark
    std::uint64_t high_water_mark_revision = 0; ///< of the mark, as last seen by this process
    std::map<std::string, session_location, std::less<>> sessions; ///< where each line of turns ran last
    timestamp last_use{};

    /// Returns the spending if all turns under way take the most that they may.
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
