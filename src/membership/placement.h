#pragma once

#include "membership/member.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lagoonferry {

inline constexpr std::size_t max_backups = 2;

/// Where a partition should be.
struct partition_placement {
    std::string owner;
    std::vector<std::string> backups; ///< in failure domains that differ from the owner's and from each other's

    bool operator==(const partition_placement&) const = default;
};

/// Chooses owners and backups of partitions by weighted rendezvous hashing, so that a member that comes or goes moves
/// only its own share. Immutable; may be read by several threads.
class placement {
public:
    /// `entries` are the alive entry instances that are not presumed down.
    explicit placement(std::span<const member> entries);

    /// Returns the placement of a partition, or nothing without entries. Fewer failure domains give fewer backups.
    std::optional<partition_placement> of(std::uint32_t partition) const;

    /// Returns backups for the partition of a given owner, which keeps them apart from its failure domain.
    std::vector<std::string> backups_for(std::uint32_t partition, std::string_view owner) const;

    /// Returns all entries in the order in which the partition prefers them.
    std::vector<std::string> order(std::uint32_t partition) const;

    /// Returns who takes over a partition whose owner is presumed down: the first entry by score that is none of
    /// `backups`, which hold the copies, or else the first entry. If the successor fails as well, no further copy is
    /// lost; a takeover that lacks a copy must end the open programs. Nothing without entries.
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
