#pragma once

#include <string>
#include <vector>

namespace lagoonferry::bench {

/// Compares runs with and without orders to targets while demand moves between models. Returns 0 when every bound is
/// met, 1 when one is not, 2 on a usage error, which docopt reports.
int orders_command(const std::vector<std::string>& arguments);

} // namespace lagoonferry::bench
