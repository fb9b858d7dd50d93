#pragma once

#include "membership/member.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lagoonferry {

inline constexpr std::size_t max_backups = 2;

/// The intended owner and backups of a partition.
struct partition_placement {
    std::string owner;
    std::vector<std::string> backups; ///< in failure domains that differ from the owner's and from each other's

    bool operator==(const partition_placement&) const = default;
};

/// Chooses owners and backups of partitions by weighted rendezvous hashing, so that a member that joins or leaves moves
/// only its own partitions. Immutable; may be read by several threads.
class placement {
public:
    /// `entries` are the alive entry instances that are not presumed down.
    explicit placement(std::span<const member> entries);

    /// Returns the placement of a partition, or nothing if there are no entries. It has fewer than `max_backups`
    /// backups when there are too few failure domains.
    std::optional<partition_placement> of(std::uint32_t partition) const;

    /// Returns the backups of a partition for a given owner, in failure domains other than the owner's. Empty if the
    /// owner is not among the entries.
    std::vector<std::string> backups_for(std::uint32_t partition, std::string_view owner) const;

    /// Returns the ids of all entries, ordered by descending score for the partition.
    std::vector<std::string> order(std::uint32_t partition) const;

    /// Returns the entry that takes over a partition whose owner is presumed down: the entry with the highest score
    /// that is not one of `backups`, or else the entry with the highest score. `backups` hold the replicas, so this
    /// loses no further replica if the successor fails as well. A takeover without a replica must end the open
    /// programs. Returns nothing if there are no entries.
    std::optional<std::string> successor(std::uint32_t partition, std::span<const std::string> backups) const;

private:
    struct candidate {
        std::string id;
        std::string failure_domain;
        std::uint64_t hash = 0;
        double weight = 1;
    };

    std::vector<const candidate*> ordered(std::uint32_t partition) const;
    static std::vector<std::string> backups_in(const std::vector<const candidate*>& order, const candidate& owner);

    std::vector<candidate> m_candidates;
};

} // namespace lagoonferry
