#pragma once

#include "membership/member.h"

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// A backup and the start time of the process that has the replica; see `process_start`.
struct head_backup {
    std::string id;
    std::uint64_t incarnation = 0;
};

/// The fields of a partition's head record that determine its owner.
struct head_view {
    std::uint64_t epoch = 0; ///< 0: the partition has never been owned
    std::string owner;
    std::uint64_t owner_incarnation = 0; ///< the owner's start time; 0: a handover is not completed
    std::vector<head_backup> backups;
};

enum class owner_status {
    usable,
    pending, ///< the owner is the successor of a handover and has not taken over yet
    failed,  ///< another process may take over the partition now
};

/// Returns the members that `self` must monitor: the backups of its own partitions, and the owners of the partitions of
/// which it is a backup. Backups of one partition monitor each other only when its head has no owner, which stands for
/// a failed one. If they always did, a process in a fleet of 340 would have 54 contacts, would receive from each only
/// every 4.5 s, and would presume live ones down. Thread-safe.
std::set<std::string, std::less<>> replica_peers(std::string_view self, std::span<const head_view> heads);

/// Returns the backups that still have their replica: those among `members` whose start time is the one in the head.
/// Thread-safe.
std::vector<std::string> backups_with_copy(const head_view& head, std::span<const member> members);

/// Returns the status of the owner that a head, or a claim in a heartbeat, names. `known` is the membership entry of
/// that id, or nothing when it is unknown, gone or presumed down. An owner with a later start time has restarted and
/// lost the partition. An earlier start time than the head's only shows that membership lags behind the head.
/// Thread-safe.
owner_status check_owner(const head_view& head, const std::optional<member>& known);

} // namespace lagoonferry
