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

/// Chosen by the sender of an event that is answered; unique among the open requests of one `partition_owner`.
using request_id = std::uint64_t;

/// Opens a program, or a child program when `parent` is set (same partition and account as its parent).
/// Answered with JSON `{"program": id}`.
struct open_program {
    request_id request = 0;
    std::string program; ///< `<partition>-<96 random bits as hex>`, chosen by the sender
    std::string parent;
    std::string account;
    std::string service;
    budget limits;
    std::uint32_t high_water_mark_chunks = 4;
    service_class priority = service_class::normal;
    std::int64_t opened_ms = 0; ///< wall clock, since 1970
};

/// What a model call costs. Reserved for the largest possible use, settled by the reported use.
struct call_price {
    std::uint64_t per_call = 0;            ///< micro-units
    std::uint64_t per_1000_prompt = 0;     ///< micro-units for 1,000 prompt tokens
    std::uint64_t per_1000_completion = 0; ///< micro-units for 1,000 completion tokens
};

/// Runs one turn. Answered with the JSON text of the answer message and the turn's number.
struct begin_turn {
    request_id request = 0;
    std::string program;
    std::string account;
    std::uint64_t number = 0;          ///< 0 only with `full_history`: derived from the list of messages
    bool full_history = false;         ///< `messages` repeats the whole stored history before the new messages
    std::vector<std::string> messages; ///< JSON texts, one object each
    std::uint64_t max_completion_tokens = 0;
    call_price price;
    timestamp deadline{0};
};

struct token_usage {
    std::uint64_t prompt = 0;
    std::uint64_t completion = 0;
};

/// An engine finished a turn with its final event. `answer` is the JSON text of the message.
struct engine_completed {
    std::string call;
    std::uint64_t epoch = 0;
    std::string answer;
    token_usage usage;
    std::string target;
};

/// An engine call ended without a complete answer: no target, refused, failed, or cut within the stream.
struct engine_failed {
    std::string call;
    std::uint64_t epoch = 0;
    result_code code = result_code::target_failed;
    run_state run = run_state::outcome_unknown; ///< `not_run` only if no target received the call
    std::string text;
    std::uint64_t retry_after_ms = 0;
    std::string target; ///< empty if no target received the call
};

/// Begins a tool call. An irreversible call needs `key`; an idempotent call with a key has its result recorded.
/// Answered with the result as the tool gave it.
struct begin_call {
    request_id request = 0;
    std::string program;
    std::string account;
    bool irreversible = true;
    std::string key;
    std::string tool;
    std::string arguments;
    std::uint64_t max_money = 0; ///< micro-units that one execution costs at most
    timestamp deadline{0};
};

enum class call_status {
    completed, ///< the tool answered, with whatever result
    not_sent,  ///< certain: no byte of the request left this process
    unknown,   ///< everything else, for example a timeout or a reset connection
};

struct call_finished {
    std::string call;
    std::uint64_t epoch = 0;
    std::uint32_t attempt = 0;
    call_status status = call_status::unknown;
    std::string result; ///< the tool's result, or the reason of the failure
    std::uint64_t money = 0;
};

/// Ends a program and its children. Answered with JSON `{"program": id, "ended": reason, "already_ended": bool,
/// "class": name, "opened_ms": time, "target": engine of its last turn here}`.
struct end_program {
    request_id request = 0;
    std::string program;
    std::string account;
    std::string reason;
};

/// Answered with a JSON object: state, turns, digest, limits, spent, running calls.
struct query_program {
    request_id request = 0;
    std::string program;
    std::string account;
};

/// Answered with JSON `{"programs": [...], "more": bool}`, ordered by id, with those that have ended lately.
struct list_programs {
    request_id request = 0;
    std::string after; ///< only programs with a greater id
    std::size_t limit = 1000;
};

/// Answered like a repeated `begin_call` with the same key; never sends anything.
struct query_call {
    request_id request = 0;
    std::string program;
    std::string account;
    std::string key;
};

/// What this instance believes about a peer that may hold copies.
struct peer_state {
    instance_ref instance;
    std::uint64_t incarnation = 0;
    std::string failure_domain;
    bool presumed_down = false; ///< local judgement, from missed heartbeats
    bool leaving = false;
    bool listed = true; ///< false once the instance list no longer holds it
};

/// Replaces what the owner knows about its peers. Entry instances only, most preferred backup first. A backup that is
/// absent from `peers` counts as no longer listed.
struct membership_changed {
    std::vector<peer_state> peers;
};

/// Something may be due; see `partition_owner::next_wake`.
struct timer_fired {};

/// Takes the partition over. Ignored while a takeover runs or the partition is owned.
struct start_takeover {};

/// Hands the partition to `successor`: refuses new work, finishes running work, writes everything down and releases.
struct start_handover {
    instance_ref successor;
};

using event = std::variant<open_program, begin_turn, engine_completed, engine_failed, begin_call, call_finished,
                           end_program, query_program, list_programs, query_call, kv_reply, replicate_reply,
                           fetch_reply, membership_changed, timer_fired, start_takeover, start_handover>;

} // namespace lagoonferry
