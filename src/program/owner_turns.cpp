#include "program/history.h"
#include "program/owner_core.h"

#include <algorithm>
#include <numeric>

namespace lagoonferry {

namespace {

/// Upper bound of the tokens that a chat template adds for one message.
constexpr std::uint64_t message_overhead_tokens = 16;

std::uint64_t total_bytes(const std::vector<std::string>& messages)
{
    return std::accumulate(messages.begin(), messages.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const std::string& it) { return sum + it.size(); });
}

std::uint64_t price_of(std::uint64_t tokens, std::uint64_t per_1000)
{
    return (tokens * per_1000 + 999) / 1000;
}

budget cost_of(const token_usage& usage, const call_price& price)
{
    const std::uint64_t money = price.per_call + price_of(usage.prompt, price.per_1000_prompt) +
                                price_of(usage.completion, price.per_1000_completion);
    return {usage.prompt + usage.completion, 1, money};
}

refusal refused(result_code code, std::string text, std::uint64_t retry_after_ms = 0)
{
    return {code, execution_state::not_run, std::move(text), retry_after_ms, {}};
}

} // namespace

void partition_owner::core::on(const begin_turn& it)
{
    auto reason = check_new_work();
    if (!reason) {
        reason = check_program(it.program, it.account);
    }
    if (reason) {
        refuse(it.request, std::move(*reason));
        return;
    }
    program_state& program = *find_program(it.program);
    if (program.ended) {
        refuse(it.request, ended_refusal(*program.ended));
        return;
    }
    if (program.unavailable) {
        refuse(it.request, refused(result_code::program_unavailable, "a part of the history was lost"));
        return;
    }
    program.last_used = m_now;
    const bool skip_read =
        m_settings.faults.skip_history_read && it.number == program.turns.size() + 1 && !it.full_history;
    if (!in_memory(program) && !skip_read) {
        enqueue_history_load(it, program);
        return;
    }
    failure error;
    std::optional<turn_request> request = parse_turn(it, program, error);
    if (!request) {
        refuse(it.request, refused(error.code, error.text));
        return;
    }
    if (request->number <= program.turns.size()) {
        reply_repeated_turn(it, program, *request);
        return;
    }
    if (!program.running_turn.empty()) {
        refuse(it.request, refused(result_code::turn_in_progress, "a turn is in progress", short_retry_after_ms));
        return;
    }
    start_turn(it, program, std::move(*request));
}

std::optional<turn_request> partition_owner::core::parse_turn(const begin_turn& it, const program_state& program,
                                                              failure& reason) const
{
    std::vector<std::string> messages;
    for (const std::string& text : it.messages) {
        auto message = canonical_message(text);
        if (!message) {
            reason = {result_code::malformed, "a message is not a JSON object"};
            return std::nullopt;
        }
        messages.push_back(std::move(*message));
    }
    if (messages.empty() || (it.number == 0 && !it.full_history)) {
        reason = {result_code::malformed, "a turn requires messages and a number"};
        return std::nullopt;
    }
    if (it.number > program.turns.size() + 1) {
        reason = {result_code::turn_out_of_order, "the next turn is " + std::to_string(program.turns.size() + 1)};
        return std::nullopt;
    }
    std::optional<turn_request> request = turn_request{it.number, std::move(messages)};
    if (it.full_history) {
        request = split_full_history(std::move(request->messages), program.turns, it.number, reason);
    }
    if (request && total_bytes(request->messages) > m_settings.max_turn_bytes) {
        reason = {result_code::too_large,
                  "the messages of one turn are limited to " + std::to_string(m_settings.max_turn_bytes) + " bytes"};
        return std::nullopt;
    }
    return request;
}

void partition_owner::core::reply_repeated_turn(const begin_turn& it, const program_state& program,
                                                const turn_request& request)
{
    const turn_text& turn = as_turn(program.turns.at(request.number - 1));
    if (!std::ranges::equal(turn.messages, request.messages, equivalent_messages)) {
        refuse(it.request, refused(result_code::turn_conflict,
                                   "turn " + std::to_string(turn.number) + " was run with different messages"));
        return;
    }
    const std::uint64_t sequence = request.number == program.turns.size() ? program.last_turn_sequence : 0;
    refusal timeout_refusal{result_code::not_stored,
                            execution_state::run,
                            "no backup has acknowledged the answer",
                            long_retry_after_ms,
                            {}};
    reply_when_stored({it.request,
                       sequence,
                       m_now + m_settings.store_timeout,
                       success{turn.answer, turn.number},
                       std::move(timeout_refusal),
                       {}});
}

void partition_owner::core::start_turn(const begin_turn& it, program_state& program, turn_request request)
{
    if (!is_stored(program.last_turn_sequence)) {
        refuse(it.request, refused(result_code::not_stored,
                                   "turn " + std::to_string(program.turns.size()) + " is not stored yet; repeat it",
                                   long_retry_after_ms));
        return;
    }
    if (m_now >= it.deadline) {
        refuse(it.request, refused(result_code::deadline_exceeded, "the deadline has passed"));
        return;
    }
    running_call call;
    call.kind = call_kind::turn;
    call.id = new_call_id(it.program);
    call.program = it.program;
    call.request = it.request;
    call.deadline = it.deadline;
    call.turn = it;
    call.turn.number = request.number;
    call.turn.messages = std::move(request.messages);
    // A token has at least one byte, so the new messages have at most as many tokens as bytes.
    const std::uint64_t prompt = program.context_tokens + total_bytes(call.turn.messages) +
                                 message_overhead_tokens * (call.turn.messages.size() + 1);
    call.reserved = cost_of({prompt, it.max_completion_tokens}, it.price);
    if (!reserve_for(program, call)) {
        refuse(it.request, refused(result_code::budget_exhausted, "the budget does not cover the turn"));
        return;
    }
    program.running_turn = call.id;
    std::string id = call.id;
    m_calls.emplace(std::move(id), std::move(call));
}

void partition_owner::core::send_turn(running_call& call)
{
    const program_state& program = *find_program(call.program);
    call.step = call_step::running;
    std::vector<text_ref> history = program.turns;
    if (m_settings.faults.skip_history_read) {
        std::erase(history, nullptr);
    }
    emit(start_engine_call{.request = call.request,
                           .call = call.id,
                           .epoch = m_journal.epoch(),
                           .program = call.program,
                           .service = program.opened.service,
                           .account = program.opened.account,
                           .turn = call.turn.number,
                           .messages = build_prompt(history, call.turn.messages),
                           .max_completion_tokens = call.turn.max_completion_tokens,
                           .tokens_spent = program.account.used().tokens,
                           .deadline = call.deadline});
}

void partition_owner::core::on(const engine_completed& it)
{
    running_call* call = find_running(it.call, it.epoch);
    if (call == nullptr || call->kind != call_kind::turn) {
        ++m_counters.stale_results;
        return;
    }
    program_state& program = *find_program(call->program);
    if (!it.target.empty()) {
        program.targets.insert(it.target);
        program.last_target = it.target;
    }
    settle_call(*call, cost_of(it.usage, call->turn.price));
    auto answer = canonical_message(it.answer);
    if (!answer || answer->size() > m_settings.max_answer_bytes) {
        refuse(call->request,
               {result_code::target_failed, execution_state::run, "the engine's answer is not a valid message", 0, {}});
    }
    else {
        store_turn(*call, std::move(*answer), it.usage);
    }
    remove_call(call->id);
}

void partition_owner::core::store_turn(running_call& call, std::string answer, const token_usage& usage)
{
    program_state& program = *find_program(call.program);
    turn_text turn;
    turn.program = call.program;
    turn.number = program.turns.size() + 1;
    turn.previous = program.digest;
    turn.messages = std::move(call.turn.messages);
    turn.answer = std::move(answer);
    turn.digest = chain_digest(turn);
    success result{turn.answer, turn.number};
    // The next prompt contains this prompt and this answer. The token counts of the engine are exact.
    program.context_tokens = usage.prompt + usage.completion;
    const turn_entry content{call.program, turn.number, turn.digest, program.context_tokens};
    program.digest = turn.digest;
    program.last_used = m_now;
    const auto text = std::make_shared<const stored_text>(std::move(turn));
    program.turns.push_back(text);
    count_texts(program);
    program.last_turn_sequence = append(content, text);
    refusal timeout_refusal{result_code::not_stored,
                            execution_state::run,
                            "no backup has acknowledged the answer",
                            long_retry_after_ms,
                            {}};
    reply_when_stored({call.request,
                       program.last_turn_sequence,
                       m_now + m_settings.store_timeout,
                       std::move(result),
                       std::move(timeout_refusal),
                       {}});
}

void partition_owner::core::on(const engine_failed& it)
{
    running_call* call = find_running(it.call, it.epoch);
    if (call == nullptr || call->kind != call_kind::turn) {
        ++m_counters.stale_results;
        return;
    }
    if (!it.target.empty()) {
        find_program(call->program)->targets.insert(it.target);
    }
    // Without the final event of the engine the usage is unknown, so the whole reservation counts as used.
    settle_call(*call, it.run == execution_state::not_run ? budget{} : call->reserved);
    refuse(call->request, {it.code, it.run, replace_invalid_utf8(it.text), it.retry_after_ms, {}});
    remove_call(call->id);
}

} // namespace lagoonferry
