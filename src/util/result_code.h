#pragma once

#include <string_view>

namespace lagoonferry {

/// The result codes that callers and operators see. docs/result-codes.md has the same table.
enum class result_code : int {
    ok = 0,
    malformed = 101,
    too_large = 102,
    unknown_program = 103,
    turn_out_of_order = 104,
    turn_conflict = 105,
    key_missing = 106,
    key_conflict = 107,
    unauthorized = 108,
    unknown_service = 109,
    unknown_tool = 110,
    program_ended = 111,
    turn_in_progress = 112,
    budget_exhausted = 201,
    overloaded = 202,
    deadline_exceeded = 203,
    moved = 301,
    program_unavailable = 302,
    stopping = 303,
    platform_unavailable = 401,
    not_stored = 402,
    target_failed = 501,
    outcome_unknown = 502,
    answer_cut = 503,
    no_target = 504,
    document_invalid = 601,
    document_conflict = 602,
    setting_invalid = 701,
};

/// Returns the name of a code as it appears in responses and logs. Thread-safe.
std::string_view to_string(result_code code);

/// Returns the HTTP status of a response with this code, 500 for an unknown code. Thread-safe.
int http_status(result_code code);

/// What is known about the execution of a request when the response is sent.
enum class execution_state { not_run, outcome_unknown, run };

/// Returns "not_run", "outcome_unknown" or "run". Thread-safe.
std::string_view to_string(execution_state state);

} // namespace lagoonferry
