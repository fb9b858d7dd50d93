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

/// A backup and the start of its process that holds the copy; see `process_start`.
struct head_backup {
    std::string id;
    std::uint64_t incarnation = 0;
};

/// The fields of a partition's head record that decide who owns it.
struct head_view {
    std::uint64_t epoch = 0; ///< 0: the partition has never been owned
    std::string owner;
    std::uint64_t owner_incarnation = 0; ///< start of the owner's process; 0: a handover is not taken over yet
    std::vector<head_backup> backups;
};

enum class owner_status {
    usable,
    pending, ///< the owner is the successor of a handover and has not taken over yet
    failed,  ///< another process may take the partition over now
};

/// Returns the contacts of `self`: the backups of its own partitions, and the owners of the partitions of which it is a
/// backup. Backups of the same partition watch each other only when its head is given without an owner, which stands
/// for a failed one: with them a process of a fleet of 340 had 54 contacts, heard each only every 4.5 s, and took live
/// ones for down. Thread-safe.
std::set<std::string, std::less<>> replica_peers(std::string_view self, std::span<const head_view> heads);

/// Returns the backups that have the copy: those among `members` that run with the start that the head names.
/// Thread-safe.
std::vector<std::string> backups_with_copy(const head_view& head, std::span<const member> members);

/// Judges the owner that a head, or a claim in a heartbeat, names. `known` is what membership knows of that id, or
/// nothing when it is unknown, gone or presumed down. An owner that runs with a later start has lost the partition. An
/// earlier start than the head's only shows that membership lags behind the head. Thread-safe.
owner_status check_owner(const head_view& head, const std::optional<member>& known);

} // namespace lagoonferry
