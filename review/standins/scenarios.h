#pragma once

#include <string>
#include <vector>

namespace lagoonferry::review {

struct scenario {
    std::string name;
    int (*run)(const std::string& folder, bool with_trouble);
};

const std::vector<scenario>& all_scenarios();

/// A gateway freezes while it owns the budgets of some programs, and wakes again.
int run_frozen_owner(const std::string& folder, bool with_trouble);

/// Entries of engines lapse in an outage of the store, while some engines lose answers.
int run_lapsed_entries(const std::string& folder, bool with_trouble);

/// All gateways are stopped and started in turn while programs pause.
int run_rolling_stop(const std::string& folder, bool with_trouble);

} // namespace lagoonferry::review
