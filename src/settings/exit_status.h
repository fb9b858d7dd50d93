#pragma once

namespace lagoonferry {

/// Exit status of the binary; its usage texts list the values.
enum exit_status : int {
    exit_done = 0,
    exit_refused = 1,
    exit_usage = 2,
    exit_unreachable = 3,
};

} // namespace lagoonferry
