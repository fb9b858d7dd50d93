#pragma once

#include "blackboard/board_entry.h"
#include "dispatch/dispatch_counters.h"
#include "dispatch/group_map.h"
#include "dispatch/target_info.h"
#include "dispatch/target_stats.h"
#include "document/document_table.h"
#include "membership/address_lookup.h"
#include "membership/member.h"
#include "membership/partition_owners.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// The processes of the system, as this process knows them. Members that are presumed down are left out.
struct member_view {
    std::vector<member> entries;
    std::vector<member> dispatchers;
    std::vector<member> targets;

    /// Returns the process or target with this id, or null.
    const member* find(std::string_view id) const;
};

/// An entry instance and whether this process presumes it down.
struct observed_member {
    member known;
    bool presumed_down = false;
};

/// A reference to an account: a service and the account's name in the service's document.
struct account_ref {
    std::string service;
    std::string account;
};

/// The documents in force, with an index of account keys.
struct document_view {
    std::map<std::string, std::shared_ptr<const document_in_force>, std::less<>> services;
    std::map<std::string, std::vector<account_ref>, std::less<>> accounts_by_digest;
    bool ready = false;
};

/// A target that a document in force names, with its address.
struct known_target {
    target_info info;
    std::string address;
    bool checks_fence = false;
    std::string scope; ///< `<service>` of the document that names it
};

/// The targets of all documents, divided into groups. `targets` is ordered by id.
struct target_map {
    std::map<std::string, known_target, std::less<>> targets;
    std::shared_ptr<const group_map> groups;
};

/// The owners of partitions: the HTTP address of each by partition.
struct owner_view {
    std::map<std::uint32_t, std::string> addresses;
    std::vector<std::uint32_t> own; ///< partitions that this process serves
};

/// The state of one group in its dispatcher.
struct group_status {
    dispatch_counters counters;
    std::vector<target_stats> targets;
};

/// The state that the controllers of one process share. The comment of each entry names its only writer.
struct board {
    board_entry<member_view> members;                      ///< membership controller
    board_entry<std::vector<observed_member>> all_entries; ///< membership controller
    board_entry<bool> instances_known; ///< membership controller: a response of the instance list has arrived
    board_entry<owner_view> owners;    ///< membership controller
    board_entry<std::shared_ptr<const address_lookup>> addresses;   ///< membership controller
    board_entry<document_view> documents;                           ///< document controller
    board_entry<target_map> targets;                                ///< membership controller
    board_entry<std::vector<document_version>> announced_documents; ///< document controller
    board_entry<std::vector<owned_partition>> announced_partitions; ///< ownership controller
    board_entry<std::set<std::string, std::less<>>> contacts;       ///< ownership controller: members to monitor
    board_entry<std::map<std::string, group_status>> dispatch;      ///< dispatch controller, by group
    board_entry<std::uint32_t> load_percent;                        ///< the HTTP interface
    board_entry<bool> superseded; ///< membership controller: a newer process with the same id is running
    board_entry<bool> stopping;   ///< the process itself, on a planned stop
};

} // namespace lagoonferry
