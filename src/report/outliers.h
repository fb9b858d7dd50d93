#pragma once

#include "report/burn_report.h"

#include <span>

namespace lagoonferry {

/// Marks the outliers: contributors whose ratio of bad events is at least three times both the median ratio and
/// `allowed_bad_ratio`, and significantly above them. If most contributors are equally bad, none is an outlier.
/// Thread-safe.
void mark_outliers(std::span<burn_contributor> contributors, double allowed_bad_ratio);

} // namespace lagoonferry
