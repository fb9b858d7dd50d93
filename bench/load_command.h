#pragma once

#include <string>
#include <vector>

namespace lagoonferry::bench {

/// Measures one entry process under load in real time: the latency that it adds to a call, its memory and its CPU time.
/// Returns 0 if the bounds of the design document hold, 1 if one does not, 2 on a usage error.
int load_command(const std::vector<std::string>& arguments);

} // namespace lagoonferry::bench
