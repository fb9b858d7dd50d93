#include "util/result_code.h"

#include <algorithm>
#include <array>

namespace lagoonferry {

namespace {

struct code_row {
    result_code code;
    std::string_view name;
    int status;
};

constexpr std::array code_rows{
    code_row{result_code::ok, "ok", 200},
    code_row{result_code::malformed, "malformed", 400},
    code_row{result_code::too_large, "too_large", 413},
    code_row{result_code::unknown_program, "unknown_program", 404},
    code_row{result_code::turn_out_of_order, "turn_out_of_order", 409},
    code_row{result_code::turn_conflict, "turn_conflict", 409},
    code_row{result_code::key_missing, "key_missing", 400},
    code_row{result_code::key_conflict, "key_conflict", 409},
    code_row{result_code::unauthorized, "unauthorized", 401},
    code_row{result_code::unknown_service, "unknown_service", 404},
    code_row{result_code::unknown_tool, "unknown_tool", 404},
    code_row{result_code::program_ended, "program_ended", 410},
    code_row{result_code::turn_in_progress, "turn_in_progress", 409},
    code_row{result_code::budget_exhausted, "budget_exhausted", 402},
    code_row{result_code::overloaded, "overloaded", 429},
    code_row{result_code::deadline_exceeded, "deadline_exceeded", 504},
    code_row{result_code::moved, "moved", 307},
    code_row{result_code::program_unavailable, "program_unavailable", 503},
    code_row{result_code::stopping, "stopping", 503},
    code_row{result_code::platform_unavailable, "platform_unavailable", 503},
    code_row{result_code::not_stored, "not_stored", 503},
    code_row{result_code::target_failed, "target_failed", 502},
    code_row{result_code::outcome_unknown, "outcome_unknown", 502},
    code_row{result_code::answer_cut, "answer_cut", 502},
    code_row{result_code::no_target, "no_target", 503},
    code_row{result_code::document_invalid, "document_invalid", 422},
    code_row{result_code::document_conflict, "document_conflict", 409},
    code_row{result_code::setting_invalid, "setting_invalid", 400},
};

const code_row* find_row(result_code code)
{
    const auto* it = std::ranges::find(code_rows, code, &code_row::code);
    return it == code_rows.end() ? nullptr : it;
}

} // namespace

std::string_view to_string(result_code code)
{
    const code_row* row = find_row(code);
    return row == nullptr ? "unknown_code" : row->name;
}

int http_status(result_code code)
{
    const code_row* row = find_row(code);
    return row == nullptr ? 500 : row->status;
}

std::string_view to_string(execution_state state)
{
    switch (state) {
    case execution_state::not_run:
        return "not_run";
    case execution_state::outcome_unknown:
        return "outcome_unknown";
    case execution_state::run:
        return "run";
    }
    return "outcome_unknown";
}

} // namespace lagoonferry
