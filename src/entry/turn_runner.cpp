#include "entry/turn_runner.h"

#include "backends/engine_client.h"
#include "blackboard/board.h"
#include "entry/slot_ticket.h"
#include "roles/messages.h"
#include "util/log.h"
#include "util/rendezvous.h"

#include <caf/send.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>
#include <thread>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

// Approximation for English text. It only affects queue order and placement.
constexpr std::size_t bytes_per_token = 4;

constexpr std::uint64_t max_output_estimate = 256; // tokens
constexpr milliseconds prefix_pin_duration{60'000};
constexpr milliseconds slot_wait_timeout{120'000};

// Extra wait after the deadline, so that the dispatcher's own refusal can arrive before the wait times out.
constexpr milliseconds slot_wait_grace{200};

milliseconds remaining_time(timestamp deadline, milliseconds limit)
{
    if (deadline.count() == 0) {
        return limit;
    }
    const auto remaining = std::chrono::duration_cast<milliseconds>(deadline - steady_now());
    return std::clamp(remaining, milliseconds(0), limit);
}

std::string join_messages(const std::vector<std::string>& messages)
{
    std::string out = "[";
    for (const std::string& message : messages) {
        if (out.size() > 1) {
            out += ',';
        }
        out += message;
    }
    return out + ']';
}

std::uint32_t estimated_tokens(const std::vector<std::string>& messages)
{
    const std::size_t bytes = std::accumulate(messages.begin(), messages.end(), std::size_t{0},
                                              [](std::size_t sum, const std::string& m) { return sum + m.size(); });
    return static_cast<std::uint32_t>(bytes / bytes_per_token + 1);
}

std::uint32_t to_microseconds(timestamp value)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value.count(), 0, UINT32_MAX));
}

nlohmann::json message_of(const std::string& text, const std::vector<engine_tool_call>& calls)
{
    nlohmann::json message{{"role", "assistant"}, {"content", text}};
    for (const engine_tool_call& call : calls) {
        message["tool_calls"].push_back({{"id", call.id},
                                         {"type", "function"},
                                         {"function", {{"name", call.name}, {"arguments", call.arguments}}}});
    }
    return message;
}

std::string dump(const nlohmann::json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

/// State of one call across its attempts.
struct turn_runner::call_progress {
    const start_engine_call* work = nullptr;
    std::string text; ///< received over all attempts
    std::uint32_t tokens = 0;
    std::uint32_t attempts = 0;
    std::vector<std::string> excluded;
    std::shared_ptr<slot_ticket> ticket;
    granted_slot slot;
    std::string address;
    attempt_result last;
    engine_failed failed;
};

turn_runner::turn_runner(const board* shared, caf::actor slots, engine_client* engines, std::uint64_t seed)
    : m_board(shared), m_slots(std::move(slots)), m_engines(engines), m_retries(retry_settings{}, seed)
{
}

void turn_runner::set_observer(std::function<void(const call_options&, const attempt_result&)> observer)
{
    m_observer = std::move(observer);
}

turn_result turn_runner::run(const start_engine_call& work, const call_options& options, const token_sink& sink)
{
    call_progress call;
    call.work = &work;
    call.failed.call = work.call;
    call.failed.epoch = work.epoch;
    call.failed.run = execution_state::not_run;
    {
        const std::lock_guard lock(m_mutex);
        m_retries.on_first_attempt();
    }
    while (true) {
        if (!get_slot(call, options)) {
            return call.failed;
        }
        stream(call, options, sink);
        if (call.last.answer.end == stream_end::complete) {
            engine_completed done;
            done.call = work.call;
            done.epoch = work.epoch;
            done.answer = dump(message_of(call.text, call.last.answer.tool_calls));
            done.usage = {call.last.answer.usage.prompt_tokens, call.tokens};
            done.target = call.slot.target;
            return done;
        }
        if (!prepare_retry(call, options)) {
            return call.failed;
        }
    }
}

bool turn_runner::get_slot(call_progress& call, const call_options& options)
{
    slot_acquire request;
    request.service = options.service;
    request.model = options.model;
    request.account = options.account;
    request.priority = options.priority;
    request.attained_service = call.work->tokens_spent + call.tokens;
    request.prompt_tokens = estimated_tokens(call.work->messages);
    // A high limit does not predict the length of the completion; only a low one is used as an estimate.
    if (call.work->max_completion_tokens <= max_output_estimate) {
        request.expected_output = static_cast<std::uint32_t>(call.work->max_completion_tokens);
    }
    request.prefix = stable_hash(call.work->program);
    request.deadline = remaining_time(call.work->deadline, slot_wait_timeout);
    request.excluded = call.excluded;
    call.ticket = std::make_shared<slot_ticket>();
    caf::anon_send(m_slots, acquire_slot{request, call.ticket});

    const auto result = call.ticket->wait(request.deadline + slot_wait_grace);
    if (!result) {
        caf::anon_send(m_slots, return_slot{call.ticket->request(), {}});
        call.failed.code = result_code::deadline_exceeded;
        call.failed.text = "no slot was granted before the deadline";
        call.failed.retry_after_ms = 1000;
        return false;
    }
    if (const auto* refused = std::get_if<slot_refuse>(&*result)) {
        call.failed.code = refused->reason;
        call.failed.text = "the dispatcher refused the call";
        call.failed.retry_after_ms = static_cast<std::uint64_t>(refused->retry_after.count());
        return false;
    }
    call.slot = std::get<granted_slot>(*result);
    const auto targets = m_board->targets.read();
    const auto it = targets->targets.find(call.slot.target);
    call.address = it == targets->targets.end() ? std::string() : it->second.address;
    return true;
}

engine_call turn_runner::make_engine_call(const call_progress& call, const call_options& options) const
{
    engine_call request;
    request.address = call.address;
    request.call_id = call.work->call + '-' + std::to_string(call.attempts);
    request.program = call.work->program;
    request.model = options.model;
    request.messages = join_messages(call.work->messages);
    request.parameters = options.parameters;
    request.max_tokens = static_cast<std::uint32_t>(call.work->max_completion_tokens);
    request.priority = options.engine_priority;
    request.fence = fencing_token{call.work->program.substr(0, call.work->program.find('-')), call.work->epoch};
    request.pin = prefix_pin_duration;
    request.resume_text = call.text;
    request.resume_tokens = call.tokens;
    request.total_timeout = remaining_time(call.work->deadline, request.total_timeout);
    return request;
}

void turn_runner::stream(call_progress& call, const call_options& options, const token_sink& sink)
{
    ++call.attempts;
    attempt_result attempt;
    attempt.target = call.slot.target;
    attempt.sent = steady_now();
    attempt.resumed = call.tokens > 0;
    const auto on_token = [&](std::string_view text) {
        attempt.last_token = steady_now();
        if (attempt.tokens++ == 0) {
            attempt.first_token = attempt.last_token;
        }
        call.text += text;
        ++call.tokens;
        call.ticket->add_token();
        attempt.caller_disconnected = !sink(text);
        attempt.preempted = call.ticket->preempted();
        return !attempt.caller_disconnected && !attempt.preempted;
    };
    attempt.answer = m_engines->stream(make_engine_call(call, options), on_token);
    release_slot(call, attempt);
    if (m_observer) {
        m_observer(options, attempt);
    }
    call.last = std::move(attempt);
}

void turn_runner::release_slot(const call_progress& call, const attempt_result& attempt) const
{
    slot_observation observed;
    if (attempt.tokens > 0) {
        observed.first_token_us = to_microseconds(attempt.first_token - attempt.sent);
    }
    if (attempt.tokens > 1) {
        observed.per_token_us = to_microseconds((attempt.last_token - attempt.first_token) / (attempt.tokens - 1));
    }
    observed.tokens = attempt.tokens;
    observed.cached_tokens = attempt.answer.usage.cached_tokens;
    observed.preempted = attempt.preempted;
    observed.failed = attempt.answer.end != stream_end::complete && attempt.answer.end != stream_end::cancelled;
    caf::anon_send(m_slots, return_slot{call.ticket->request(), observed});
}

bool turn_runner::prepare_retry(call_progress& call, const call_options& options)
{
    const attempt_result& last = call.last;
    call.failed.target = last.target;
    call.failed.run =
        last.answer.end == stream_end::not_sent && call.tokens == 0 ? execution_state::not_run : execution_state::run;
    call.failed.code = call.tokens == 0 ? result_code::target_failed : result_code::answer_cut;
    call.failed.text = last.answer.reason.text;
    if (last.caller_disconnected) {
        call.failed.text = "the caller has disconnected";
        return false;
    }
    if (last.preempted) {
        return true;
    }
    log(log_part::entry, log_level::warning, "Call failed on its target.", field("program", call.work->program),
        field("turn", call.work->turn), field("target", last.target), field("end", to_string(last.answer.end)),
        field("reason", last.answer.reason.text));
    call.excluded.push_back(last.target);
    attempt_state state;
    state.idempotent = true;
    state.attempts = call.attempts;
    state.deadline = options.deadline;
    state.refused_not_run = last.answer.end == stream_end::not_sent;
    std::optional<timestamp> pause;
    {
        const std::lock_guard lock(m_mutex);
        pause = m_retries.next_attempt(state, steady_now());
    }
    if (!pause) {
        return false;
    }
    std::this_thread::sleep_for(*pause);
    return true;
}

} // namespace lagoonferry
