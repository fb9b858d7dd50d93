#pragma once

#include <cstddef>

namespace lagoonferry::test {

/// Returns the resident memory of this process in KB.
std::size_t resident_kb();

} // namespace lagoonferry::test
