#pragma once

#include "dispatch/target_info.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// A group of targets that is served by one dispatcher.
struct target_group {
    std::string id; ///< `<model>` or `<model>/<failure domain>/<number>`
    std::string model;
    std::vector<std::string> targets; ///< sorted
};

/// Assigns targets to groups and groups to dispatchers. The map is a pure function of the targets and the live
/// dispatchers, so every process computes the same one. Immutable after construction, so safe for concurrent readers.
///
/// A model with at most `max_group_size` targets is one group. A larger one is split by failure domain. Inside a domain
/// the targets are spread by rendezvous hashing over a power of two of groups, so that adding or removing a target
/// rarely moves others.
class group_map {
public:
    static constexpr std::size_t max_group_size = 40;

    /// Targets in state `gone` are ignored. `dispatchers` are the ids of the live dispatch instances.
    group_map(std::span<const target_info> targets, std::vector<std::string> dispatchers);

    const std::vector<target_group>& groups() const { return m_groups; }

    /// Returns the groups of a model in the order of preference for a prefix. A program tries the same group first each
    /// time.
    std::vector<std::string> groups_of(std::string_view model, std::uint64_t prefix) const;

    /// Returns the dispatchers in the order of preference for a group; the first one serves the group. Empty without
    /// dispatchers.
    std::vector<std::string> dispatchers_of(std::string_view group) const;

    /// Returns the id of the group of a target, or nothing for an unknown target.
    std::optional<std::string> group_of(std::string_view target) const;

private:
    std::vector<target_group> m_groups; ///< sorted by id
    std::vector<std::string> m_dispatchers;
};

} // namespace lagoonferry
