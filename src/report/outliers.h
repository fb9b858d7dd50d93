#pragma once

#include "report/burn_report.h"

#include <span>

namespace lagoonferry {

/// Marks the shares whose part of bad events is far above that of the others: above three times the median and the
/// allowed part, by more than chance explains. When most are equally bad, none is an outlier. Thread-safe.
void mark_outliers(std::span<burn_contributor> shares, double allowed_bad_ratio);

} // namespace lagoonferry
