#pragma once

#include "bounds.h"
#include "recovery_report.h"

#include <set>
#include <string>
#include <vector>

namespace lagoonferry::bench {

/// Checks the worst seed of each size and fault. The limits come from the requirements: no target above its limit,
/// counted as the slots that holders hold from any dispatcher, and no urgent call waiting longer than 5 s, a served
/// rate that is back within 10 s, refusals that give a time, and returning callers that are spread.
std::vector<bound_result> check_recovery_bounds(const std::vector<recovery_result>& results,
                                                const std::set<std::string>& known_red);

} // namespace lagoonferry::bench
