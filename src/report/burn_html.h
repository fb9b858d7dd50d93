#pragma once

#include "report/burn_report.h"

#include <string>

namespace lagoonferry {

/// Returns the report as one HTML page with inline SVG plots and no references to other files. Thread-safe.
std::string to_html(const burn_report& report);

} // namespace lagoonferry
