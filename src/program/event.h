#pragma once

#include "journal/budget.h"
#include "journal/head_record.h"
#include "journal/kv_call.h"
#include "program/replica_messages.h"
#include "util/result_code.h"
#include "util/service_class.h"
#include "util/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lagoonferry {

/// Id of an event that gets a reply, chosen by its sender. Unique among the open requests of one `partition_owner`.
using request_id = std::uint64_t;

/// Opens a program. If `parent` is set, opens a child program in the partition and account of its parent.
/// The reply is JSON `{"program": id}`.
struct open_program {
    request_id request = 0;
    std::string program; ///< `<partition>-<96 random bits as hex>`, chosen by the sender
    std::string parent;
    std::string account;
    std::string service;
    budget limits;
    /// A high-water mark advances by 1 / `high_water_mark_chunks` of the limits.
    std::uint32_t high_water_mark_chunks = 4;
    service_class priority = service_class::normal;
    std::int64_t opened_ms = 0; ///< wall clock, since 1970
};

/// Price of a model call. The cost of the largest possible usage is reserved, the cost of the reported usage settled.
struct call_price {
    std::uint64_t per_call = 0;            ///< micro-units
    std::uint64_t per_1000_prompt = 0;     ///< micro-units for 1,000 prompt tokens
    std::uint64_t per_1000_completion = 0; ///< micro-units for 1,000 completion tokens
};

/// Runs one turn. The reply holds the answer message as JSON text and the number of the turn.
struct begin_turn {
    request_id request = 0;
    std::string program;
    std::string account;
    std::uint64_t number = 0;          ///< 0 only with `full_history`: derived from the list of messages
    bool full_history = false;         ///< `messages` is the complete stored history followed by the new messages
    std::vector<std::string> messages; ///< JSON texts, one object each
    std::uint64_t max_completion_tokens = 0;
    call_price price;
    timestamp deadline{0};
};

/// Numbers of tokens that a model call has used.
struct token_usage {
    std::uint64_t prompt = 0;
    std::uint64_t completion = 0;
};

/// An engine call completed a turn. `answer` is the JSON text of the assistant's message.
struct engine_completed {
    std::string call;
    std::uint64_t epoch = 0;
    std::string answer;
    token_usage usage;
    std::string target;
};

/// An engine call ended without a complete answer: there was no target, or the target refused, failed or closed the
/// stream early.
struct engine_failed {
    std::string call;
    std::uint64_t epoch = 0;
    result_code code = result_code::target_failed;
    execution_state run = execution_state::outcome_unknown; ///< `not_run` only if no target received the call
    std::string text;
    std::uint64_t retry_after_ms = 0;
    std::string target; ///< empty if no target received the call
};

/// Starts a tool call. An irreversible call requires `key`. The result of an idempotent call is recorded only if it has
/// a key. The reply is the unmodified result of the tool.
struct begin_call {
    request_id request = 0;
    std::string program;
    std::string account;
    bool irreversible = true;
    std::string key;
    std::string tool;
    std::string arguments;
    std::uint64_t max_money = 0; ///< upper bound of the cost of one execution, in micro-units
    timestamp deadline{0};
};

enum class call_status {
    completed, ///< the tool responded, whatever the result is
    not_sent,  ///< no byte of the request left this process
    unknown,   ///< any other end, for example a timeout or a reset connection
};

/// One attempt of a tool call ended.
struct call_finished {
    std::string call;
    std::uint64_t epoch = 0;
    std::uint32_t attempt = 0;
    call_status status = call_status::unknown;
    std::string result; ///< the tool's result, or the cause of the failure
    std::uint64_t money = 0;
};

/// Ends a program and its children. The reply is JSON `{"program": id, "ended": reason, "already_ended": bool,
/// "class": name, "opened_ms": time, "target": target of its last turn in this process}`.
struct end_program {
    request_id request = 0;
    std::string program;
    std::string account;
    std::string reason;
};

/// Queries the state of one program. The reply is a JSON object with its state, turns, digest, limits, spending and
/// running calls.
struct query_program {
    request_id request = 0;
    std::string program;
    std::string account;
};

/// Lists the programs of the partition. The reply is JSON `{"programs": [...], "more": bool}`, ordered by id. It
/// includes ended programs until their retention time has passed.
struct list_programs {
    request_id request = 0;
    std::string after; ///< only programs with a greater id
    std::size_t limit = 1000;
};

/// Queries the outcome of a tool call. The reply is that of a repeated `begin_call` with the same key, but no call is
/// ever sent.
struct query_call {
    request_id request = 0;
    std::string program;
    std::string account;
    std::string key;
};

/// This instance's view of a peer that can be a backup.
struct peer_state {
    instance_ref instance;
    std::uint64_t incarnation = 0;
    std::string failure_domain;
    bool presumed_down = false; ///< decided locally, from missed heartbeats
    bool leaving = false;
    bool listed = true; ///< false once the instance list no longer contains the peer
};

/// Replaces the owner's view of its peers. `peers` contains entry instances only, the most preferred backup first. A
/// backup that is absent from `peers` counts as no longer listed.
struct membership_changed {
    std::vector<peer_state> peers;
};

/// A deadline or an interval may have passed; see `partition_owner::next_wake`.
struct timer_fired {};

/// Starts a takeover of the partition. Ignored while a takeover is in progress or the partition is owned.
struct start_takeover {};

/// Starts a handover of the partition to `successor`: refuses new work, finishes running work, flushes the log to the
/// key-value service and gives up the ownership.
struct start_handover {
    instance_ref successor;
};

using event = std::variant<open_program, begin_turn, engine_completed, engine_failed, begin_call, call_finished,
                           end_program, query_program, list_programs, query_call, kv_reply, replicate_reply,
                           fetch_reply, membership_changed, timer_fired, start_takeover, start_handover>;

} // namespace lagoonferry
