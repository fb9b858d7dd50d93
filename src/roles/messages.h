#pragma once

#include "dispatch/order_planner.h"
#include "dispatch/slot_holder.h"
#include "dispatch/target_info.h"
#include "document/document_record.h"
#include "document/document_table.h"
#include "membership/heartbeat.h"
#include "membership/listed_instance.h"
#include "peer/network_address.h"
#include "program/action.h"
#include "program/event.h"
#include "program/replica_messages.h"

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/atom.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

class call_session;
class slot_ticket;

using tick_atom = caf::atom_constant<caf::atom("tick")>;
using stop_atom = caf::atom_constant<caf::atom("stop")>;

/// An event for the owner of a partition. If the event is a request, `session` receives its engine and tool calls and
/// the reply.
struct partition_event {
    event input;
    std::shared_ptr<call_session> session;
};

/// A call to the key-value service. The sender receives a `kv_reply`.
struct platform_request {
    kv_call call;
};

/// A batch for this process's own replica store.
struct replica_request {
    replicate_request message;
};

/// A fetch from this process's own replica store.
struct replica_fetch {
    fetch_request message;
};

/// Requests a slot in a target group of the model from the slot controller.
struct acquire_slot {
    slot_acquire request;
    std::shared_ptr<slot_ticket> ticket;
};

/// Returns the slot of a ticket, or cancels the request if no slot was granted.
struct return_slot {
    std::uint64_t request = 0;
    slot_observation observation;
};

/// A slot message from another process.
struct slot_datagram {
    std::string from;
    std::string group;
    slot_message message;
};

/// Load reports and cache events of targets.
struct target_reports {
    std::vector<load_report> reports;
    std::vector<cache_event> cache_events;
};

/// An order to a target, with the number of its fencing token.
struct send_order {
    std::string service;
    std::string address;
    target_order order;
    std::uint64_t fence = 0;
};

/// Result of an order. `accepted` is also true after a lost reply, because the target may have executed the order.
struct order_result {
    std::string service;
    std::string target;
    bool accepted = false;
};

/// A heartbeat from another process and the address it came from.
struct heartbeat_datagram {
    network_address from;
    heartbeat message;
};

/// The ownership of one partition has changed.
struct partition_status {
    std::uint32_t partition = 0;
    bool owned = false;
    std::uint64_t epoch = 0;
    std::string owner_id;          ///< current owner, if another instance is known to own it
    std::string successor_address; ///< RPC address of the successor after a completed handover, otherwise empty
};

/// The backups that the head record of an owned partition names have changed.
struct partition_backups {
    std::uint32_t partition = 0;
    std::vector<backup_ref> backups;
};

/// This process has stored a batch as a backup of a partition.
struct replica_stored {
    std::uint32_t partition = 0;
    std::uint64_t epoch = 0;
};

/// Requests that this process take over a partition whose owner has handed it over or has failed.
struct takeover_request {
    std::uint32_t partition = 0;
};

/// An authenticated message other than a heartbeat has arrived from a process.
struct member_seen {
    std::string id;
};

/// Partitions that a peer claims to own in its heartbeat.
struct partition_announcement {
    std::string owner;
    std::uint64_t owner_start_time = 0; ///< see `process_start`
    std::vector<owned_partition> partitions;
};

/// The rows of one poll of the instance list.
struct listed_instances {
    std::vector<listed_instance> rows;
};

/// Requests that the peer at an RPC address take over a partition.
struct send_takeover {
    std::string address;
    std::uint32_t partition = 0;
};

/// The controllers of all partitions, by number.
struct partition_controllers {
    std::vector<caf::actor> controllers;
};

/// Marks an instance or target as leaving. An empty id stands for this process.
struct drain_request {
    std::string id;
};

/// Versions of documents that a peer announces in its heartbeat.
struct document_announcement {
    std::string peer;
    std::vector<document_version> versions;
};

/// A record that a put in this process has accepted, or that the watch has read.
struct document_update {
    document_record record;
};

/// Requests the versions of all documents.
struct list_documents {};

/// The versions of all documents, or nothing if no source replied. An empty `source` is the key-value service.
struct document_list_result {
    std::string source;
    std::optional<std::vector<document_version>> versions;
};

/// Result of a document fetch. `record` is empty if the fetch failed.
struct document_fetch_result {
    document_fetch request;
    std::optional<document_record> record;
};

} // namespace lagoonferry

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::partition_event)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::platform_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::replica_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::replica_fetch)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::replicate_reply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::fetch_reply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::acquire_slot)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::return_slot)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::slot_datagram)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::heartbeat_datagram)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::partition_status)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::partition_backups)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::replica_stored)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::takeover_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::drain_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::document_announcement)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::document_update)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::document_fetch)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::list_documents)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::document_list_result)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::document_fetch_result)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::target_reports)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::member_seen)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::send_order)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::order_result)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::partition_announcement)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::send_takeover)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::partition_controllers)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::listed_instances)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::kv_reply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::send_replicate)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::send_fetch)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::release_engine_memory)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(lagoonferry::membership_changed)
