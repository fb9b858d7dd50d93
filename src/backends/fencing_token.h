#pragma once

#include <cstdint>
#include <string>

namespace lagoonferry {

/// A number that lets a target refuse callers that have been superseded. Numbers are compared only within a scope, such
/// as a partition, because epochs of different partitions are unrelated.
struct fencing_token {
    std::string scope;
    std::uint64_t number = 0;
};

} // namespace lagoonferry
