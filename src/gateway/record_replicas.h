#pragma once

#include <cstddef>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// Returns the gateways that still have the record of `key`: the first `replica_count` by rendezvous hashing among the
/// live and the recently lost ones, without those that were lost. Thread-safe.
std::vector<std::string> surviving_replicas(std::string_view key, std::span<const std::string> live,
                                            const std::set<std::string, std::less<>>& lost, std::size_t replica_count);

} // namespace lagoonferry
