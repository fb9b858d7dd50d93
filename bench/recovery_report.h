#pragma once

#include "recovery_figures.h"
#include "recovery_scenario.h"

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace lagoonferry::bench {

/// Arguments and figures of one run.
struct recovery_result {
    recovery_size size;
    recovery_fault fault = recovery_fault::dispatcher_killed;
    std::uint64_t seed = 1;
    recovery_figures figures;
};

/// Writes one table per size, with a row for each fault and seed.
void write_recovery_table(std::ostream& out, const std::vector<recovery_result>& results);

/// Returns all figures of all runs. Infinite values are null.
nlohmann::json to_recovery_json(const std::vector<recovery_result>& results);

/// Writes data files and the gnuplot script `plot.gp`, which draws the served rate before and after the fault.
/// Returns false if the script cannot be written.
bool write_recovery_plots(const std::string& folder, const std::vector<recovery_result>& results);

} // namespace lagoonferry::bench
