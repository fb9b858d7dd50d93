#include "program/history.h"
#include "program/is_valid_name.h"
#include "program/owner_core.h"
#include "util/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lagoonferry {

namespace {

constexpr std::size_t max_key_bytes = 128;
constexpr timestamp retry_pause{std::chrono::milliseconds{100}};

refusal refused(result_code code, std::string text, std::uint64_t retry_after_ms = 0)
{
    return {code, execution_state::not_run, std::move(text), retry_after_ms, {}};
}

refusal outcome_unknown(std::string text)
{
    return {result_code::outcome_unknown, execution_state::outcome_unknown, std::move(text), 0, {}};
}

std::string arguments_digest(const begin_call& it)
{
    return digest_hex(std::to_string(it.tool.size()) + ":" + it.tool + it.arguments);
}

std::size_t encoded_bytes(const std::string& text)
{
    return nlohmann::json(text).dump().size();
}

} // namespace

std::optional<refusal> partition_owner::core::check_call(const begin_call& it) const
{
    if (it.irreversible && it.key.empty()) {
        return refused(result_code::key_missing, "an irreversible call needs an idempotency key");
    }
    if (!is_valid_name(it.key, max_key_bytes) || !is_valid_name(it.tool, max_key_bytes)) {
        return refused(result_code::malformed, "the idempotency key or the tool is not a valid name");
    }
    if (it.arguments.size() > m_settings.max_turn_bytes) {
        return refused(result_code::too_large,
                       "arguments are limited to " + std::to_string(m_settings.max_turn_bytes) + " bytes");
    }
    if (auto reason = check_owned()) {
        return reason;
    }
    return check_program(it.program, it.account);
}

void partition_owner::core::on(const begin_call& it)
{
    if (auto reason = check_call(it)) {
        refuse(it.request, std::move(*reason));
        return;
    }
    program_state& program = *find_program(it.program);
    const auto key = program.keys.find(it.key);
    if (!it.key.empty() && key != program.keys.end()) {
        if (key->second.arguments_digest != arguments_digest(it)) {
            refuse(it.request, refused(result_code::key_conflict, "the idempotency key was used for a different call"));
            return;
        }
        reply_from_key(it.request, key->second);
        return;
    }
    auto reason = check_new_work();
    if (!reason && program.ended) {
        reason = ended_refusal(*program.ended);
    }
    if (!reason && m_now >= it.deadline) {
        reason = refused(result_code::deadline_exceeded, "the deadline has passed");
    }
    if (!reason && it.irreversible && m_journal.stalled(m_now, m_settings.confirm_timeout)) {
        reason = refused(result_code::platform_unavailable, "the key-value service does not confirm writes",
                         long_retry_after_ms);
    }
    if (reason) {
        refuse(it.request, std::move(*reason));
        return;
    }
    start_call(it, program);
}

void partition_owner::core::reply_from_key(request_id request, const key_state& key)
{
    switch (key.status) {
    case key_status::running:
        refuse(request, {result_code::turn_in_progress,
                         execution_state::outcome_unknown,
                         "the call is in progress",
                         short_retry_after_ms,
                         {}});
        return;
    case key_status::unknown:
        refuse(request, outcome_unknown("the call was or may have been sent; its outcome is unknown"));
        return;
    case key_status::expired:
        refuse(request,
               {result_code::outcome_unknown, execution_state::run, "the call was run; its result has expired", 0, {}});
        return;
    case key_status::known:
        break;
    }
    const std::string& result = key.result_text ? std::get<result_text>(*key.result_text).text : key.result;
    refusal timeout_refusal{result_code::not_stored,
                            execution_state::run,
                            "no backup has acknowledged the result",
                            long_retry_after_ms,
                            {}};
    reply_when_stored(
        {request, key.sequence, m_now + m_settings.store_timeout, success{result, 0}, std::move(timeout_refusal), {}});
}

void partition_owner::core::on(const query_call& it)
{
    auto reason = check_owned();
    if (!reason) {
        reason = check_program(it.program, it.account);
    }
    if (reason) {
        refuse(it.request, std::move(*reason));
        return;
    }
    const program_state& program = *find_program(it.program);
    const auto key = program.keys.find(it.key);
    if (key == program.keys.end()) {
        refuse(it.request, refused(result_code::key_missing, "no call of this program has this idempotency key"));
        return;
    }
    reply_from_key(it.request, key->second);
}

void partition_owner::core::start_call(const begin_call& it, program_state& program)
{
    running_call call;
    call.kind = it.irreversible ? call_kind::irreversible : call_kind::idempotent;
    call.id = new_call_id(it.program);
    call.program = it.program;
    call.request = it.request;
    call.deadline = it.deadline;
    call.call = it;
    call.reserved = {0, 1, it.max_money};
    if (!reserve_for(program, call)) {
        refuse(it.request, refused(result_code::budget_exhausted, "the budget does not cover the call"));
        return;
    }
    if (!it.key.empty()) {
        program.keys[it.key] = {call.id, it.tool, arguments_digest(it), key_status::running, {},
                                nullptr, 0,       std::nullopt};
    }
    std::string id = call.id;
    m_calls.emplace(std::move(id), std::move(call));
}

bool partition_owner::core::reserve_for(program_state& program, running_call& call)
{
    if (!program.account.reserve(call.reserved)) {
        return false;
    }
    call.step = call_step::storing_high_water_mark;
    call.step_deadline = std::min(call.deadline, m_now + m_settings.store_timeout);
    if (m_settings.faults.high_water_mark_after_use) {
        call.awaited_sequence = program.open_sequence;
        return true;
    }
    if (const auto high_water_mark = program.account.next_high_water_mark()) {
        program.account.set_high_water_mark(*high_water_mark);
        program.high_water_mark_sequence = append(high_water_mark_entry{call.program, *high_water_mark});
    }
    call.awaited_sequence = std::max(program.high_water_mark_sequence, program.open_sequence);
    return true;
}

void partition_owner::core::settle_call(running_call& call, const budget& used)
{
    program_state& program = *find_program(call.program);
    if (program.ended) {
        return;
    }
    program.account.settle(call.reserved, used);
    call.reserved = {};
    if (!m_settings.faults.high_water_mark_after_use) {
        return;
    }
    if (const auto high_water_mark = program.account.next_high_water_mark()) {
        program.account.set_high_water_mark(*high_water_mark);
        program.high_water_mark_sequence = append(high_water_mark_entry{call.program, *high_water_mark});
    }
}

void partition_owner::core::advance_call(running_call& call)
{
    switch (call.step) {
    case call_step::storing_high_water_mark:
        advance_storing(call);
        return;
    case call_step::confirming:
        advance_confirming(call);
        return;
    case call_step::running:
        advance_running(call);
        return;
    }
}

void partition_owner::core::advance_storing(running_call& call)
{
    if (m_now >= call.step_deadline) {
        refuse_before_sending(call);
        return;
    }
    if (!is_stored(call.awaited_sequence) || m_now < call.not_before) {
        return;
    }
    switch (call.kind) {
    case call_kind::turn:
        send_turn(call);
        return;
    case call_kind::idempotent:
        send_call(call);
        return;
    case call_kind::irreversible:
        append_intent(call);
        return;
    }
}

void partition_owner::core::refuse_before_sending(running_call& call)
{
    const bool deadline_passed = m_now >= call.deadline;
    refusal reason = deadline_passed
                         ? refused(result_code::deadline_exceeded, "the deadline has passed")
                         : refused(result_code::not_stored, "no backup has acknowledged the budget reservation",
                                   long_retry_after_ms);
    // An earlier attempt of an idempotent call may have been executed.
    reason.run = call.attempt > 1 ? execution_state::outcome_unknown : execution_state::not_run;
    settle_call(call, {});
    refuse(call.request, std::move(reason));
    find_program(call.program)->keys.erase(call.call.key);
    remove_call(call.id);
}

void partition_owner::core::append_intent(running_call& call)
{
    const program_state& program = *find_program(call.program);
    call.step = call_step::confirming;
    call.step_deadline = std::min(call.deadline, m_now + m_settings.confirm_timeout);
    call.awaited_sequence = append(intent_entry{call.id, call.program, program.turns.size(), call.call.tool,
                                                call.call.key, arguments_digest(call.call)},
                                   nullptr, durability::confirmed);
    if (m_settings.faults.send_before_confirmed) {
        send_call(call);
    }
}

void partition_owner::core::advance_confirming(running_call& call)
{
    if (m_now >= call.step_deadline) {
        // The intent may still become durable later, but only this process could send the call, and it does not.
        abandon(call);
        settle_call(call, {});
        refuse(call.request, refused(result_code::platform_unavailable,
                                     "the key-value service did not confirm the intent in time", long_retry_after_ms));
        remove_call(call.id);
        return;
    }
    if (m_journal.durable() >= call.awaited_sequence) {
        send_call(call);
    }
}

void partition_owner::core::send_call(running_call& call)
{
    const program_state& program = *find_program(call.program);
    call.step = call_step::running;
    emit(send_tool_call{.request = call.request,
                        .call = call.id,
                        .epoch = m_journal.epoch(),
                        .attempt = call.attempt,
                        .program = call.program,
                        .service = program.opened.service,
                        .account = program.opened.account,
                        .tool = call.call.tool,
                        .key = call.call.key,
                        .arguments = call.call.arguments,
                        .irreversible = call.call.irreversible,
                        .deadline = call.deadline});
}

void partition_owner::core::advance_running(running_call& call)
{
    if (m_now < call.deadline) {
        return;
    }
    if (call.replied) {
        // Waits for a late result for the retention time, because it resolves the unknown outcome.
        if (m_now >= call.deadline + m_settings.retention) {
            settle_call(call, call.reserved);
            remove_call(call.id);
        }
        return;
    }
    refusal reason = outcome_unknown("the deadline passed before the call ended");
    if (call.kind == call_kind::irreversible) {
        refuse(call.request, std::move(reason));
        call_unknown(call, {});
        call.replied = true;
        return;
    }
    if (call.kind == call_kind::turn) {
        reason.code = result_code::deadline_exceeded;
        emit(cancel_engine_call{call.id});
    }
    settle_call(call, call.reserved);
    refuse(call.request, std::move(reason));
    find_program(call.program)->keys.erase(call.call.key);
    remove_call(call.id);
}

void partition_owner::core::on(const call_finished& it)
{
    running_call* call = find_running(it.call, it.epoch);
    if (call == nullptr || call->kind == call_kind::turn || (call->attempt != it.attempt)) {
        ++m_counters.stale_results;
        return;
    }
    switch (it.status) {
    case call_status::completed:
        call_completed(*call, it);
        break;
    case call_status::not_sent:
        call_not_sent(*call, it);
        break;
    case call_status::unknown:
        if (!call->replied && retry_call(*call)) {
            return;
        }
        settle_call(*call, call->reserved);
        if (!call->replied) {
            refuse(call->request, outcome_unknown(replace_invalid_utf8(it.result)));
            call_unknown(*call, it.result);
        }
        break;
    }
    remove_call(call->id);
}

void partition_owner::core::call_completed(running_call& call, const call_finished& it)
{
    settle_call(call, {0, 1, it.money});
    if (call.call.key.empty()) {
        if (!call.replied) {
            reply(call.request, success{it.result, 0});
        }
        return;
    }
    const std::uint64_t sequence = record_outcome(call, true, replace_invalid_utf8(it.result));
    if (call.replied) {
        return;
    }
    refusal timeout_refusal{result_code::not_stored,
                            execution_state::run,
                            "no backup has acknowledged the result",
                            long_retry_after_ms,
                            {}};
    reply_when_stored({call.request,
                       sequence,
                       m_now + m_settings.store_timeout,
                       success{it.result, 0},
                       std::move(timeout_refusal),
                       {}});
}

std::uint64_t partition_owner::core::record_outcome(const running_call& call, bool known, const std::string& result)
{
    key_state& key = find_program(call.program)->keys[call.call.key];
    outcome_entry content{call.id, call.program, call.call.tool, call.call.key, arguments_digest(call.call), known, {},
                          {}};
    text_ref text;
    key.status = known ? key_status::known : key_status::unknown;
    if (encoded_bytes(result) <= m_settings.max_inline_result_bytes) {
        content.result = result;
        key.result = result;
    }
    else {
        content.result_digest = digest_hex(result);
        if (result.size() <= m_settings.max_answer_bytes) {
            text =
                std::make_shared<const stored_text>(result_text{call.program, call.id, result, content.result_digest});
            key.result_text = text;
        }
        else {
            key.status = key_status::expired;
        }
    }
    key.finished = m_now;
    key.sequence = append(std::move(content), text);
    const std::uint64_t sequence = key.sequence;
    count_texts(*find_program(call.program));
    return sequence;
}

void partition_owner::core::call_not_sent(running_call& call, const call_finished& it)
{
    settle_call(call, {});
    if (call.kind == call_kind::irreversible) {
        abandon(call);
    }
    else if (!call.call.key.empty()) {
        find_program(call.program)->keys.erase(call.call.key);
    }
    if (call.replied) {
        return;
    }
    refusal reason = refused(result_code::target_failed, replace_invalid_utf8(it.result), long_retry_after_ms);
    reason.run = call.attempt > 1 ? execution_state::outcome_unknown : execution_state::not_run;
    if (call.kind == call_kind::irreversible) {
        // Replies once the abandon entry is stored. Otherwise a successor could report the outcome as unknown.
        reply_when_stored({call.request, m_journal.last(), m_now + m_settings.store_timeout, reason, reason, {}});
        return;
    }
    refuse(call.request, std::move(reason));
}

void partition_owner::core::call_unknown(running_call& call, const std::string& text)
{
    program_state& program = *find_program(call.program);
    if (call.kind == call_kind::irreversible) {
        record_outcome(call, false,
                       replace_invalid_utf8(std::string_view(text).substr(0, m_settings.max_inline_result_bytes / 2)));
        return;
    }
    // An idempotent call may be repeated with the same key.
    program.keys.erase(call.call.key);
}

bool partition_owner::core::retry_call(running_call& call)
{
    if (call.kind != call_kind::idempotent || call.attempt >= m_settings.max_idempotent_attempts ||
        m_now >= call.deadline) {
        return false;
    }
    program_state& program = *find_program(call.program);
    const bool stopping = program.ended || m_phase == owner_phase::handing_over;
    if (stopping) {
        return false;
    }
    const budget amount = call.reserved;
    settle_call(call, amount);
    call.reserved = amount;
    if (!reserve_for(program, call)) {
        call.reserved = {};
        return false;
    }
    ++call.attempt;
    call.not_before = m_now + retry_pause * (call.attempt - 1);
    return true;
}

void partition_owner::core::abandon(const running_call& call)
{
    append(abandon_entry{call.id, call.program, call.call.key});
    find_program(call.program)->keys.erase(call.call.key);
}

partition_owner::core::running_call* partition_owner::core::find_running(const std::string& id, std::uint64_t epoch)
{
    if (m_phase == owner_phase::idle || m_phase == owner_phase::taking_over || m_released) {
        return nullptr;
    }
    auto it = m_calls.find(id);
    if (m_settings.faults.ignore_call_epoch && it == m_calls.end()) {
        const std::string program = id.substr(0, id.find('/'));
        it = std::ranges::find_if(m_calls, [&program](const auto& pair) { return pair.second.program == program; });
    }
    else if (epoch != m_journal.epoch()) {
        return nullptr;
    }
    if (it == m_calls.end() || it->second.step != call_step::running) {
        return nullptr;
    }
    return &it->second;
}

void partition_owner::core::remove_call(const std::string& id)
{
    const auto it = m_calls.find(id);
    program_state* program = find_program(it->second.program);
    if (program != nullptr && program->running_turn == id) {
        program->running_turn.clear();
    }
    if (program != nullptr && it->second.step == call_step::storing_high_water_mark && it->second.attempt == 1) {
        program->keys.erase(it->second.call.key);
    }
    m_calls.erase(it);
}

std::string partition_owner::core::new_call_id(const std::string& program)
{
    return program + "/" + std::to_string(m_journal.epoch()) + "." + std::to_string(++m_last_call);
}

} // namespace lagoonferry
