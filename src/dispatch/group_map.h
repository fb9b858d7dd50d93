#pragma once

#include "dispatch/target_info.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// Targets that one dispatcher serves.
struct target_group {
    std::string id; ///< `<model>` or `<model>/<failure domain>/<number>`
    std::string model;
    std::vector<std::string> targets; ///< sorted
};

/// Which targets form a group and which dispatcher serves a group. Every process computes the same map from the same
/// targets and live dispatchers. Immutable after construction, so safe for concurrent readers.
///
/// A model with at most `max_group_size` targets is one group. A larger one is divided by failure domain, and inside a
/// domain into a power of two of groups by rendezvous hashing, so that one target more or less moves few others.
class group_map {
public:
    static constexpr std::size_t max_group_size = 40;

    /// Targets that are gone are left out. `dispatchers` are the ids of live dispatch instances.
    group_map(std::span<const target_info> targets, std::vector<std::string> dispatchers);

    const std::vector<target_group>& groups() const { return m_groups; }

    /// Groups of a model in the order to try them for a program's prefix, so that a program returns to the same group.
    std::vector<std::string> groups_of(std::string_view model, std::uint64_t prefix) const;

    /// Dispatchers of a group in the order to ask them; the first one serves the group. Empty without dispatchers.
    std::vector<std::string> dispatchers_of(std::string_view group) const;

    /// Group of a target, or nothing for an unknown target.
    std::optional<std::string> group_of(std::string_view target) const;

private:
    std::vector<target_group> m_groups; ///< sorted by id
    std::vector<std::string> m_dispatchers;
};

} // namespace lagoonferry
