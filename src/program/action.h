#pragma once

#include "journal/head_record.h"
#include "journal/kv_call.h"
#include "program/event.h"
#include "program/replica_messages.h"
#include "util/result_code.h"
#include "util/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoonferry {

/// Sends a batch of the log to a backup, whose reply comes back as an event. No event is needed if the backup is
/// unreachable.
struct send_replicate {
    instance_ref backup;
    replicate_request message;
};

/// Sends a fetch request to a backup, or to the local `replica_store` if `backup` is this instance.
struct send_fetch {
    instance_ref backup;
    fetch_request message;
};

/// Starts a model call with the complete prompt. It ends with exactly one `engine_completed` or `engine_failed` that
/// has the same call id and epoch.
struct start_engine_call {
    request_id request = 0; ///< of the `begin_turn`
    std::string call;
    std::uint64_t epoch = 0;
    std::string program;
    std::string service;
    std::string account;
    std::uint64_t turn = 0;
    std::vector<std::string> messages;
    std::uint64_t max_completion_tokens = 0;
    std::uint64_t tokens_spent = 0; ///< by the program so far, including the reservation of this call
    timestamp deadline{0};
};

/// Cancels a model call, whose result would be ignored.
struct cancel_engine_call {
    std::string call;
};

/// Sends a tool call once. The executor of this action must not retry it.
struct send_tool_call {
    request_id request = 0; ///< of the `begin_call`
    std::string call;
    std::uint64_t epoch = 0; ///< fencing token
    std::uint32_t attempt = 0;
    std::string program;
    std::string service;
    std::string account;
    std::string tool;
    std::string key;
    std::string arguments;
    bool irreversible = true;
    timestamp deadline{0};
};

/// Result of a request that succeeded.
struct success {
    std::string payload;    ///< JSON text, or a tool's result as it was received
    std::uint64_t turn = 0; ///< number of the turn, for `begin_turn`
};

/// Error result of a request.
struct refusal {
    result_code code = result_code::program_unavailable;
    execution_state run = execution_state::not_run;
    std::string text;
    std::uint64_t retry_after_ms = 0; ///< 0: repeating the request does not help
    std::string owner_address;        ///< for `result_code::moved`
};

/// The reply to a request. Every request gets exactly one.
struct owner_reply {
    request_id request = 0;
    std::variant<success, refusal> result;
};

/// Releases the memory that engines hold for a program. `targets` is empty after a takeover, when the targets are
/// unknown.
struct release_engine_memory {
    std::string program;
    std::string service;
    std::vector<std::string> targets;
};

/// This instance owns the partition and serves its requests.
struct partition_ready {
    std::uint64_t epoch = 0;
};

enum class loss_reason {
    replaced,    ///< another instance sealed the head, or won the takeover
    handed_over, ///< a handover is complete; a request to start the takeover must be sent to `owner`
};

/// The ownership of the partition was lost, or a takeover failed. Requests are refused until the next takeover.
struct partition_lost {
    loss_reason reason = loss_reason::replaced;
    std::optional<instance_ref> owner; ///< the current owner, if known
};

using action = std::variant<kv_call, send_replicate, send_fetch, start_engine_call, cancel_engine_call, send_tool_call,
                            owner_reply, release_engine_memory, partition_ready, partition_lost>;

} // namespace lagoonferry
