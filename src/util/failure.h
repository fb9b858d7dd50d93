#pragma once

#include "util/result_code.h"

#include <string>

namespace lagoonferry {

/// The reason why an operation failed, for example why it returned an empty optional.
struct failure {
    result_code code = result_code::ok;
    std::string text;
};

} // namespace lagoonferry
