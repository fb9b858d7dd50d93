#include "program/history.h"
#include "program/is_valid_name.h"
#include "program/owner_core.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lagoonferry {

namespace {

using nlohmann::json;

constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_program_bytes = 64;

refusal refused(result_code code, std::string text, std::uint64_t retry_after_ms = 0)
{
    return {code, execution_state::not_run, std::move(text), retry_after_ms, {}};
}

const char* program_status(const program_state& it)
{
    if (it.unavailable || (it.ended && it.ended->reason == incomplete_history_reason)) {
        return "unavailable";
    }
    return it.ended ? "ended" : "open";
}

json budget_json(const budget& it)
{
    return {{"tokens", it.tokens}, {"calls", it.calls}, {"money", it.money}};
}

} // namespace

std::optional<refusal> partition_owner::core::check_owned() const
{
    if (m_phase == owner_phase::taking_over) {
        return refused(result_code::program_unavailable, "the partition is being taken over", short_retry_after_ms);
    }
    if (m_phase == owner_phase::idle) {
        return not_owner_refusal();
    }
    return std::nullopt;
}

std::optional<refusal> partition_owner::core::check_capacity() const
{
    if (m_journal.unflushed_bytes() > m_settings.max_unflushed_bytes) {
        return refused(result_code::platform_unavailable, "too many unflushed bytes wait for the key-value service",
                       long_retry_after_ms);
    }
    const auto& log = m_journal.log();
    const auto oldest =
        std::ranges::upper_bound(log, m_stored, {}, [](const unflushed_item& it) { return it.item.sequence; });
    if (oldest != log.end() && m_now >= oldest->appended + m_settings.store_timeout) {
        return refused(result_code::not_stored, "no backup acknowledges log entries", long_retry_after_ms);
    }
    const bool full =
        m_calls.size() >= m_settings.max_running_calls || m_journal.image().bytes() > m_settings.max_record_bytes;
    const bool exceeded = m_memory->exceeded() && !m_resuming_turns;
    if (exceeded && m_journal.stalled(m_now, m_settings.confirm_timeout)) {
        return refused(result_code::platform_unavailable,
                       "the memory for histories is full and cannot be flushed to the key-value service",
                       long_retry_after_ms);
    }
    if (exceeded) {
        return refused(result_code::overloaded, "the memory for histories is full", long_retry_after_ms);
    }
    if (full) {
        return refused(result_code::overloaded, "the partition has too many running calls or its record is too large",
                       long_retry_after_ms);
    }
    return std::nullopt;
}

std::optional<refusal> partition_owner::core::check_new_work() const
{
    if (auto reason = check_owned()) {
        return reason;
    }
    if (m_phase == owner_phase::handing_over) {
        return refused(result_code::stopping, "the partition is being handed over", short_retry_after_ms);
    }
    return check_capacity();
}

std::optional<refusal> partition_owner::core::check_program(const std::string& program,
                                                            const std::string& account) const
{
    const program_state* found = find_program(program);
    if (found == nullptr) {
        return refused(result_code::unknown_program, "program " + replace_invalid_utf8(program) + " does not exist");
    }
    if (found->opened.account != account) {
        return refused(result_code::unauthorized, "the program belongs to another account");
    }
    return std::nullopt;
}

std::optional<refusal> partition_owner::core::check_open(const open_program& it) const
{
    const std::string prefix = std::to_string(m_settings.partition) + "-";
    if (!it.program.starts_with(prefix) || !is_valid_name(it.program, max_program_bytes)) {
        return refused(result_code::malformed, "the program id does not belong to this partition");
    }
    if (!is_valid_name(it.account, max_name_bytes) || !is_valid_name(it.service, max_name_bytes)) {
        return refused(result_code::malformed, "the account or the service is not a valid name");
    }
    if (auto reason = check_new_work()) {
        return reason;
    }
    const program_state* existing = find_program(it.program);
    const bool repeated = existing != nullptr && !existing->ended && existing->opened.account == it.account &&
                          existing->opened.parent == it.parent && existing->opened.limits == it.limits;
    if (existing != nullptr && !repeated) {
        return refused(result_code::malformed, "the program id is already in use");
    }
    if (it.parent.empty()) {
        return std::nullopt;
    }
    if (auto reason = check_program(it.parent, it.account)) {
        return reason;
    }
    if (const auto& ended = find_program(it.parent)->ended) {
        return ended_refusal(*ended);
    }
    return std::nullopt;
}

void partition_owner::core::on(const open_program& it)
{
    if (auto reason = check_open(it)) {
        refuse(it.request, std::move(*reason));
        return;
    }
    program_state* parent = it.parent.empty() ? nullptr : find_program(it.parent);
    const auto [position, added] = m_programs.try_emplace(it.program);
    program_state& program = position->second;
    if (added) {
        if (parent != nullptr) {
            const auto lower_high_water_mark = parent->account.high_water_mark_for_child(it.limits);
            if (!parent->account.open_child(it.limits)) {
                m_programs.erase(position);
                refuse(it.request, refused(result_code::budget_exhausted, "the parent's budget is too small"));
                return;
            }
            if (lower_high_water_mark) {
                parent->account.set_high_water_mark(*lower_high_water_mark);
                parent->high_water_mark_sequence = append(high_water_mark_entry{it.parent, *lower_high_water_mark});
            }
        }
        program.opened = {it.program,  it.account,  it.service, it.parent, it.limits, it.high_water_mark_chunks,
                          it.priority, it.opened_ms};
        program.account = budget_account(it.limits, it.high_water_mark_chunks);
        program.open_sequence = append(program.opened);
    }
    refusal timeout_refusal =
        refused(result_code::not_stored, "no backup has acknowledged the program", long_retry_after_ms);
    reply_when_stored({it.request, program.open_sequence, m_now + m_settings.store_timeout,
                       success{json{{"program", it.program}}.dump(), 0}, std::move(timeout_refusal), it.program});
}

void partition_owner::core::on(const end_program& it)
{
    auto reason = check_owned();
    if (!reason && m_phase == owner_phase::handing_over) {
        reason = refused(result_code::stopping, "the partition is being handed over", short_retry_after_ms);
    }
    if (!reason) {
        reason = check_program(it.program, it.account);
    }
    if (!reason && !is_valid_name(it.reason, max_name_bytes)) {
        reason = refused(result_code::malformed, "the reason is not a valid string");
    }
    if (reason) {
        refuse(it.request, std::move(*reason));
        return;
    }
    const bool already_ended = find_program(it.program)->ended.has_value();
    end_with_children(it.program, it.reason);
    const program_state& program = *find_program(it.program);
    refusal timeout_refusal{result_code::not_stored,
                            execution_state::outcome_unknown,
                            "no backup has acknowledged the end",
                            long_retry_after_ms,
                            {}};
    const json payload{{"program", it.program},
                       {"ended", program.ended.value_or(end_entry{}).reason},
                       {"already_ended", already_ended},
                       {"class", to_string(program.opened.priority)},
                       {"opened_ms", program.opened.opened_ms},
                       {"target", program.last_target}};
    reply_when_stored({it.request,
                       program.end_sequence,
                       m_now + m_settings.store_timeout,
                       success{payload.dump(), 0},
                       std::move(timeout_refusal),
                       {}});
}

refusal partition_owner::core::ended_refusal(const end_entry& ended)
{
    if (ended.reason == incomplete_history_reason) {
        return refused(result_code::program_unavailable, ended.reason);
    }
    return refused(result_code::program_ended, "the program has ended: " + ended.reason);
}

void partition_owner::core::end_with_children(const std::string& id, const std::string& reason)
{
    program_state* program = find_program(id);
    if (program == nullptr || program->ended) {
        return;
    }
    std::vector<std::string> children;
    for (const auto& item : m_programs) {
        if (item.second.opened.parent == id && !item.second.ended) {
            children.push_back(item.first);
        }
    }
    std::ranges::for_each(children, [&](const std::string& it) { end_with_children(it, "the parent has ended"); });
    end_single_program(*program, reason);
}

void partition_owner::core::end_single_program(program_state& program, const std::string& reason)
{
    const std::string& id = program.opened.program;
    std::vector<std::string> calls;
    for (const auto& item : m_calls) {
        if (item.second.program == id) {
            calls.push_back(item.first);
        }
    }
    std::ranges::for_each(calls, [this](const std::string& it) { stop_call(it); });
    program.ended = end_entry{id, reason, program.account.committed()};
    program.ended_at = m_now;
    program.end_sequence = append(*program.ended);
    if (program_state* parent = find_program(program.opened.parent)) {
        parent->account.end_child(program.opened.limits, program.ended->spent);
    }
    drop_loads(id);
    refuse_waiting(id, refused(result_code::program_ended, "the program has ended"));
    program.recorded_turns = std::max<std::uint64_t>(program.recorded_turns, program.turns.size());
    program.turns.clear();
    count_texts(program);
    emit(release_engine_memory{id, program.opened.service, {program.targets.begin(), program.targets.end()}});
}

void partition_owner::core::stop_call(const std::string& id)
{
    running_call& call = m_calls.find(id)->second;
    if (call.step == call_step::running && call.kind == call_kind::irreversible) {
        // Its outcome is still recorded and sent as the reply when it arrives.
        return;
    }
    refusal reason = refused(result_code::program_ended, "the program has ended");
    if (call.step == call_step::running || call.attempt > 1) {
        reason.run = execution_state::outcome_unknown;
    }
    if (call.step == call_step::running && call.kind == call_kind::turn) {
        emit(cancel_engine_call{id});
    }
    if (call.step == call_step::confirming) {
        abandon(call);
    }
    // The reservation of a running call stays, so that the end entry counts what it may have used as spent.
    if (call.step != call_step::running) {
        settle_call(call, {});
    }
    if (!call.replied) {
        refuse(call.request, std::move(reason));
    }
    remove_call(id);
}

std::uint64_t partition_owner::core::stored_turns(const program_state& program) const
{
    const std::uint64_t turns = std::max<std::uint64_t>(program.recorded_turns, program.turns.size());
    return is_stored(program.last_turn_sequence) ? turns : turns - 1;
}

void partition_owner::core::on(const query_program& it)
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
    json payload = describe(it.program, program);
    const bool history = !program.turns.empty() && is_stored(program.last_turn_sequence);
    payload["digest"] = history ? program.digest : std::string();
    reply(it.request, success{payload.dump(), 0});
}

void partition_owner::core::on(const list_programs& it)
{
    if (auto reason = check_owned()) {
        refuse(it.request, std::move(*reason));
        return;
    }
    json programs = json::array();
    auto next = m_programs.upper_bound(it.after);
    for (; next != m_programs.end() && programs.size() < it.limit; ++next) {
        json program = describe(next->first, next->second);
        program["account"] = next->second.opened.account;
        program["service"] = next->second.opened.service;
        programs.push_back(std::move(program));
    }
    const json payload{{"programs", std::move(programs)}, {"more", next != m_programs.end()}};
    reply(it.request, success{payload.dump(), 0});
}

json partition_owner::core::describe(const std::string& id, const program_state& program) const
{
    const auto running = std::ranges::count_if(
        m_calls, [&id](const auto& pair) { return pair.second.program == id && !pair.second.replied; });
    return {{"program", id},
            {"state", program_status(program)},
            {"class", to_string(program.opened.priority)},
            {"opened_ms", program.opened.opened_ms},
            {"turns", stored_turns(program)},
            {"limits", budget_json(program.opened.limits)},
            {"spent", budget_json(program.ended ? program.ended->spent : program.account.committed())},
            {"running", running}};
}

} // namespace lagoonferry
