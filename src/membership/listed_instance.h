#pragma once

#include "membership/member.h"

#include <cstdint>
#include <string>

namespace lagoonferry {

/// One row of the platform's instance list. The list lags behind the real state.
struct listed_instance {
    std::string id;
    member_role role = member_role::entry;
    member_address address; ///< a port that the list does not name is 0
    std::string failure_domain;
    bool leaving = false;
    std::uint32_t capacity = 1; ///< see `member`
};

} // namespace lagoonferry
