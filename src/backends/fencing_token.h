#pragma once

#include <cstdint>
#include <string>

namespace lagoonferry {

/// A number with which a target rejects requests of superseded callers. Numbers are compared only within a scope, such
/// as a partition, because the epochs of different partitions are unrelated.
struct fencing_token {
    std::string scope;
    std::uint64_t number = 0;
};

} // namespace lagoonferry
