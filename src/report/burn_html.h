#pragma once

#include "report/burn_report.h"

#include <string>

namespace lagoonferry {

/// Returns the report as a self-contained HTML page with inline SVG plots. Thread-safe.
std::string to_html(const burn_report& report);

} // namespace lagoonferry
