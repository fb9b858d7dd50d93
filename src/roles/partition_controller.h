#pragma once

#include "program/partition_owner.h"
#include "roles/messages.h"

#include <caf/actor.hpp>
#include <caf/behavior.hpp>
#include <caf/stateful_actor.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lagoonferry {

/// Actors that execute the actions of a partition's owner.
struct partition_receivers {
    caf::actor platform;  ///< `platform_request` -> `kv_reply`
    caf::actor peers;     ///< `send_replicate` -> `replicate_reply`, `send_fetch` -> `fetch_reply`
    caf::actor replicas;  ///< `replica_fetch` -> `fetch_reply`, for the replicas of this instance
    caf::actor engines;   ///< `release_engine_memory`
    caf::actor ownership; ///< `partition_status`, `partition_backups`
    std::string self;     ///< id of this instance
};

/// Runs one `partition_owner`: passes events to it, executes its actions and posts engine calls, tool calls and replies
/// to the sessions.
class partition_controller_state {
public:
    partition_controller_state() = default;

    void start(caf::event_based_actor* self, const owner_settings& values, partition_receivers receivers);
    void on_event(const partition_event& message);
    void on_timer();

private:
    void handle_event(const event& input);
    void report_backups();
    void schedule_timer();
    void execute(const kv_call& call);
    void execute(const send_replicate& message);
    void execute(const send_fetch& message);
    void execute(const start_engine_call& call);
    void execute(const cancel_engine_call& call);
    void execute(const send_tool_call& call);
    void execute(const owner_reply& reply);
    void execute(const release_engine_memory& order);
    void execute(const partition_ready& status);
    void execute(const partition_lost& status);

    caf::event_based_actor* m_self = nullptr;
    partition_receivers m_receivers;
    std::uint32_t m_partition = 0;
    std::unique_ptr<partition_owner> m_owner;
    std::vector<backup_ref> m_backups; ///< as last reported to `ownership`
    std::uint64_t m_next_request = 1;
    std::map<request_id, std::shared_ptr<call_session>> m_requests;
    std::map<std::string, std::shared_ptr<call_session>> m_engine_calls; ///< by call id, until their requests end
    std::optional<timestamp> m_timer_at;                                 ///< when the scheduled tick is due
};

/// Returns the behaviour of a partition's controller.
caf::behavior partition_controller(caf::stateful_actor<partition_controller_state>* self, const owner_settings& values,
                                   const partition_receivers& receivers);

} // namespace lagoonferry
