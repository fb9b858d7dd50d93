#pragma once

#include <string>
#include <vector>

namespace lagoonferry::bench {

/// Compares runs with and without orders to targets while demand moves between models. Returns 0 if every bound is met
/// or listed as known red, 1 if one is not, 2 on a usage error, which docopt reports.
int orders_command(const std::vector<std::string>& arguments);

} // namespace lagoonferry::bench
