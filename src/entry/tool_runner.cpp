#include "entry/tool_runner.h"

#include "backends/tool_client.h"
#include "blackboard/board.h"
#include "util/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

constexpr int min_server_error_status = 500;

/// Returns the target for an attempt. Attempts use the live targets of the tool in round-robin order, so that a retry
/// of an idempotent call goes to another target.
const target* choose_target(const tool& called_tool, const member_view& members, std::uint32_t attempt)
{
    std::vector<const target*> live;
    for (const target& item : called_tool.targets) {
        const member* known = members.find(item.id);
        if (known == nullptr || known->state == member_state::alive) {
            live.push_back(&item);
        }
    }
    return live.empty() ? nullptr : live[attempt % live.size()];
}

call_status status_of(const tool_result& result)
{
    switch (result.end) {
    case call_end::not_sent:
        return call_status::not_sent;
    case call_end::no_reply:
        return call_status::unknown;
    case call_end::answered:
        break;
    }
    // A server error does not show whether the action took effect.
    return result.http_status >= min_server_error_status ? call_status::unknown : call_status::completed;
}

/// Returns a response in the form in which it is stored: its HTTP status and its body, as a JSON value if it is one.
std::string stored_result(const tool_result& result)
{
    nlohmann::json body = nlohmann::json::parse(result.body, nullptr, false);
    if (body.is_discarded()) {
        body = result.body;
    }
    const nlohmann::json stored{{"status", result.http_status}, {"body", std::move(body)}};
    return stored.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

call_finished tool_runner::run(const send_tool_call& work)
{
    call_finished finished;
    finished.call = work.call;
    finished.epoch = work.epoch;
    finished.attempt = work.attempt;
    finished.status = call_status::not_sent;
    const auto documents = m_board->documents.read();
    const auto it = documents->services.find(work.service);
    const tool* called_tool = it == documents->services.end() ? nullptr : find_tool(it->second->document, work.tool);
    const target* chosen =
        called_tool == nullptr ? nullptr : choose_target(*called_tool, *m_board->members.read(), work.attempt);
    if (chosen == nullptr) {
        finished.result = "no target of the tool is available";
        return finished;
    }
    tool_call call;
    call.address = chosen->address;
    call.name = work.tool;
    call.call_id = work.call;
    call.idempotency_key = work.key.empty() ? work.call : work.program + '/' + work.key;
    call.arguments = work.arguments;
    call.fence = fencing_token{work.program.substr(0, work.program.find('-')), work.epoch};
    call.deadline = milliseconds(called_tool->deadline_ms);
    if (work.deadline.count() > 0) {
        const auto remaining = std::chrono::duration_cast<milliseconds>(work.deadline - steady_now());
        call.deadline = std::clamp(remaining, milliseconds(1), call.deadline);
    }
    const tool_result result = m_tools->call(call);
    finished.status = status_of(result);
    finished.result = result.end == call_end::answered ? stored_result(result) : result.reason.text;
    log(log_part::entry, log_level::info, "Tool call ended.", field("program", work.program), field("tool", work.tool),
        field("call", work.call), field("target", chosen->id), field("end", to_string(result.end)),
        field("status", result.http_status));
    return finished;
}

} // namespace lagoonferry
