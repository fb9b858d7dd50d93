#pragma once

#include "bounds.h"
#include "recovery_report.h"

#include <set>
#include <string>
#include <vector>

namespace lagoonferry::bench {

/// Checks the worst seed of each size and fault. The limits come from the requirements:
/// - No target exceeds its slot limit, counting the slots that holders hold from any dispatcher.
/// - No call of the most urgent class waits longer than 5 s.
/// - The served rate recovers within 10 s.
/// - Every refusal gives a retry time, and the retries are spread over time.
std::vector<bound_result> check_recovery_bounds(const std::vector<recovery_result>& results,
                                                const std::set<std::string>& known_red);

} // namespace lagoonferry::bench
