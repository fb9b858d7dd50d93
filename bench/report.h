#pragma once

#include "bounds.h"
#include "comparison.h"

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace lagoonferry::bench {

/// Writes one table per workload, scenario and group of figures. Cells give the median over the seeds and, in brackets,
/// the lowest and highest value.
void write_tables(std::ostream& out, const std::vector<comparison>& comparisons);

/// Writes one line per bound and marks the bounds that are listed as known red.
void write_bounds(std::ostream& out, const std::vector<bound_result>& results);

/// Returns all figures of all runs, and the results of the bounds. Infinite values are null.
nlohmann::json to_report(const std::vector<comparison>& comparisons, const std::vector<bound_result>& results);

/// Writes data files and the gnuplot script `plot.gp`, which draws SVG files in the same folder. Returns false if the
/// script cannot be written.
bool write_plots(const std::string& folder, const std::vector<comparison>& comparisons);

} // namespace lagoonferry::bench
