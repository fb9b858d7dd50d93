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

/// Send to a backup; its reply comes back as an event. No reply is needed when the backup cannot be reached.
struct send_replicate {
    instance_ref backup;
    replicate_request message;
};

/// Send to a backup, or to this instance's own `replica_store` if it is named.
struct send_fetch {
    instance_ref backup;
    fetch_request message;
};

/// Start a model call with the whole prompt. Ends with exactly one `engine_completed` or `engine_failed` that carries
/// the same call id and epoch.
struct start_engine_call {
    request_id request = 0; ///< the `begin_turn` that it belongs to
    std::string call;
    std::uint64_t epoch = 0;
    std::string program;
    std::string service;
    std::string account;
    std::uint64_t turn = 0;
    std::vector<std::string> messages;
    std::uint64_t max_completion_tokens = 0;
    std::uint64_t tokens_spent = 0; ///< by the whole program, with the reservation of this call
    timestamp deadline{0};
};

/// The answer of this call is no longer wanted.
struct cancel_engine_call {
    std::string call;
};

/// Send a tool call once. The receiver of this action never sends it again on its own.
struct send_tool_call {
    request_id request = 0; ///< the `begin_call` that it belongs to
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

struct success {
    std::string payload;    ///< JSON text, or a tool's result as it was received
    std::uint64_t turn = 0; ///< number of the turn, for `begin_turn`
};

struct refusal {
    result_code code = result_code::program_unavailable;
    run_state run = run_state::not_run;
    std::string text;
    std::uint64_t retry_after_ms = 0; ///< 0: repeating the request does not help
    std::string owner_address;        ///< for `result_code::moved`
};

/// The one answer to a request.
struct owner_reply {
    request_id request = 0;
    std::variant<success, refusal> result;
};

/// Release what engines hold for a program. `targets` is empty after a takeover, when they are not known.
struct release_engine_memory {
    std::string program;
    std::string service;
    std::vector<std::string> targets;
};

/// The partition is owned and serves requests.
struct partition_ready {
    std::uint64_t epoch = 0;
};

enum class loss_reason {
    replaced,    ///< another instance sealed the head, or won the takeover
    handed_over, ///< a handover is complete: tell `owner` to start its takeover
};

/// The partition is not owned any more (or the takeover failed). Requests are refused until the next takeover.
struct partition_lost {
    loss_reason reason = loss_reason::replaced;
    std::optional<instance_ref> owner; ///< the present owner, if known
};

using action = std::variant<kv_call, send_replicate, send_fetch, start_engine_call, cancel_engine_call, send_tool_call,
                            owner_reply, release_engine_memory, partition_ready, partition_lost>;

} // namespace lagoonferry
