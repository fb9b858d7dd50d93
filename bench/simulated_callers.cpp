#include "simulated_callers.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lagoonferry::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr timestamp progress_interval = seconds(1);
constexpr timestamp sample_interval = seconds(5);
constexpr double prompt_token_cost = 0.1; // attained service of an uncached prompt token, relative to a generated token

std::string entry_name(std::uint32_t entry)
{
    return "entry-" + std::to_string(entry);
}

} // namespace

simulated_callers::simulated_callers(virtual_clock& clock, const workload& w, fleet& engines, run_recorder& recorder)
    : m_clock(clock), m_workload(w), m_fleet(engines), m_recorder(recorder)
{
}

void simulated_callers::start_program(program_spec spec, std::uint32_t account)
{
    const auto index = m_programs.size();
    auto& p = m_programs.emplace_back();
    p.spec = std::move(spec);
    p.account = account;
    p.entry = static_cast<std::uint32_t>(index % m_workload.entries);
    p.priority = m_workload.kinds.at(p.spec.kind).priority;
    p.started = m_clock.now();
    p.remaining_us = program_work_us(p.spec);
    ++m_active;
    const auto caller_timeout = m_workload.caller_timeout.at(index_of(p.priority));
    if (caller_timeout.count() > 0) {
        m_clock.after(caller_timeout, [this, index] { abandon_program(index); });
    }
    start_call(index);
}

void simulated_callers::start_reports()
{
    report_progress();
    sample_caches();
}

void simulated_callers::end_run()
{
    m_stopped = true;
    for (const auto& p : m_programs) {
        if (!p.ended && !p.parent) {
            m_recorder.program_ended(p.priority, p.account, p.started, m_clock.now(), true);
        }
    }
}

void simulated_callers::start_call(std::size_t index)
{
    auto& p = m_programs[index];
    p.generated = 0;
    p.requested_at = m_clock.now();
    p.first_token_counted = false;
    p.short_wait_counted = false;
    update_long_calls(p, 1);
    acquire_slot(index);
}

void simulated_callers::acquire_slot(std::size_t index)
{
    auto& p = m_programs[index];
    if (p.ended) {
        return;
    }
    const auto& root = m_programs[root_of(index)];
    slot_acquire m;
    m.request = m_next_request++;
    m.holder = entry_name(p.entry);
    m.service = m_workload.name;
    m.model = current_call(p).model;
    m.account = "account-" + std::to_string(p.account);
    m.priority = p.priority;
    m.attained_service = static_cast<std::uint64_t>(root.service);
    m.prompt_tokens = prompt_length(p);
    m.expected_output = mean_output(p.spec.kind);
    m.prefix = prefix_of(index);
    const auto caller_timeout = m_workload.caller_timeout.at(index_of(p.priority));
    if (caller_timeout.count() > 0) {
        const auto left = root.started + caller_timeout - m_clock.now();
        m.deadline = std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(left));
    }
    p.state = call_state::waiting_for_slot;
    p.request = m.request;
    p.acquire_sent = m_clock.now();
    m_program_by_request[m.request] = index;
    m_recorder.acquire_sent(p.priority);
    m_fleet.send(m.model, p.entry, m);
}

void simulated_callers::on_dispatcher_message(const outgoing_slot_message& m)
{
    if (const auto* grant = std::get_if<slot_grant>(&m.message)) {
        if (const auto it = m_program_by_request.find(grant->request); it != m_program_by_request.end()) {
            on_reply(it->second, *grant);
        }
    }
    else if (const auto* refusal = std::get_if<slot_refuse>(&m.message)) {
        if (const auto it = m_program_by_request.find(refusal->request); it != m_program_by_request.end()) {
            on_reply(it->second, *refusal);
        }
    }
    else if (const auto* request = std::get_if<slot_preempt>(&m.message)) {
        preempt(request->slot);
    }
}

void simulated_callers::on_reply(std::size_t index, const slot_grant& m)
{
    auto& p = m_programs[index];
    m_program_by_request.erase(m.request);
    p.state = call_state::submitted;
    p.slot = m.slot;
    p.target = m.target;
    p.submitted = m_clock.now();
    p.first_token_at = timestamp{0};
    m_program_by_slot[m.slot] = index;
    auto& engine = m_fleet.engine(m.target);
    const engine_call call{m.slot, p.priority, prefix_of(index), prompt_length(p),
                           current_call(p).output - p.generated};
    m_clock.after(m_fleet.delay(p.entry, engine), [this, index, call, &engine] {
        if (m_programs[index].slot == call.id) {
            engine.submit(call);
        }
    });
}

void simulated_callers::on_reply(std::size_t index, const slot_refuse& m)
{
    auto& p = m_programs[index];
    m_program_by_request.erase(m.request);
    p.state = call_state::none;
    m_recorder.refused(p.priority, m_clock.now() - p.acquire_sent);
    m_clock.after(m.retry_after, [this, index] { acquire_slot(index); });
}

void simulated_callers::preempt(std::uint64_t slot)
{
    const auto it = m_program_by_slot.find(slot);
    if (it == m_program_by_slot.end()) {
        return;
    }
    const auto index = it->second;
    const auto& engine = m_fleet.engine(m_programs[index].target);
    m_clock.after(m_fleet.delay(m_programs[index].entry, engine),
                  [this, index, slot] { cancel_and_resume(index, slot); });
}

void simulated_callers::cancel_and_resume(std::size_t index, std::uint64_t slot)
{
    auto& p = m_programs[index];
    if (p.slot != slot || p.ended) {
        return;
    }
    const auto tokens = m_fleet.engine(p.target).cancel(slot);
    if (p.slot != slot) {
        return; // cancel() found that the call had completed with the last finished step
    }
    release(p, tokens, true);
    p.generated += tokens;
    acquire_slot(index);
}

void simulated_callers::on_engine_event(engine_event event, std::uint64_t call)
{
    const auto it = m_program_by_slot.find(call);
    if (it == m_program_by_slot.end()) {
        return;
    }
    const auto index = it->second;
    auto& p = m_programs[index];
    if (event == engine_event::started) {
        on_call_started(index);
    }
    else if (event == engine_event::first_token) {
        p.first_token_at = m_clock.now() + m_fleet.delay(p.entry, m_fleet.engine(p.target));
        if (!p.first_token_counted) {
            p.first_token_counted = true;
            m_recorder.first_token(p.priority, p.first_token_at - p.requested_at);
        }
    }
    else {
        on_call_done(index);
    }
}

void simulated_callers::on_call_started(std::size_t index)
{
    auto& p = m_programs[index];
    const auto cached = m_fleet.engine(p.target).cached(p.slot);
    const auto prompt = prompt_length(p);
    auto& previously_cached = m_longest_cached[current_call(p).model][prefix_of(index)];
    m_recorder.prompt_started(prompt, cached, previously_cached);
    previously_cached = std::max(previously_cached, prompt);
    m_programs[root_of(index)].service += prompt_token_cost * (prompt - std::min(cached, prompt));
    record_short_wait(p);
}

void simulated_callers::on_call_done(std::size_t index)
{
    auto& p = m_programs[index];
    const auto& spec = current_call(p);
    const auto tokens = spec.output - p.generated;
    auto& previously_cached = m_longest_cached[spec.model][prefix_of(index)];
    previously_cached = std::max(previously_cached, prompt_length(p) + tokens);
    release(p, tokens, false);
    update_long_calls(p, -1);
    p.remaining_us -= unbatched_work_us(spec);
    p.history += spec.new_prompt + spec.output;
    p.generated = 0;
    p.pending_sub_agents = spec.sub_agents.size();
    if (!spec.sub_agents.empty()) {
        start_sub_agents(index);
        return;
    }
    const bool last = p.next_call + 1 == p.spec.calls.size();
    m_clock.after(last ? timestamp{0} : spec.pause_after, [this, index] { start_next_call(index); });
}

/// Starts the sub-agents of the current call. The program continues when all of them have ended.
void simulated_callers::start_sub_agents(std::size_t index)
{
    const auto& parent = m_programs[index];
    for (const auto agent : current_call(parent).sub_agents) {
        const auto child = m_programs.size();
        auto& a = m_programs.emplace_back();
        a.spec = parent.spec.sub_agents.at(agent);
        a.parent = index;
        a.account = parent.account;
        a.entry = parent.entry;
        a.priority = parent.priority;
        a.started = m_clock.now();
        a.remaining_us = program_work_us(a.spec);
        start_call(child);
    }
}

/// Releases the slot and reports the timings and token counts that the entry observed.
void simulated_callers::release(program& p, std::uint32_t tokens, bool preempted)
{
    const auto& engine = m_fleet.engine(p.target);
    slot_release m;
    m.slot = p.slot;
    m.holder = entry_name(p.entry);
    m.tokens = tokens;
    m.preempted = preempted;
    if (p.first_token_at.count() > 0) {
        m.first_token_us = static_cast<std::uint32_t>((p.first_token_at - p.submitted).count());
        m.cached_tokens = preempted ? prompt_length(p) : engine.cached(p.slot);
        if (tokens > 1) {
            const auto streamed = m_clock.now() + m_fleet.delay(p.entry, engine) - p.first_token_at;
            m.per_token_us = static_cast<std::uint32_t>(streamed.count() / (tokens - 1));
        }
    }
    m_program_by_slot.erase(p.slot);
    p.slot = 0;
    p.state = call_state::none;
    m_clock.after(m_fleet.delay(p.entry, engine), [this, entry = p.entry, model = current_call(p).model,
                                                   m = std::move(m)] { m_fleet.send(model, entry, m); });
}

void simulated_callers::start_next_call(std::size_t index)
{
    auto& p = m_programs[index];
    if (p.ended) {
        return;
    }
    ++p.next_call;
    if (p.next_call < p.spec.calls.size()) {
        start_call(index);
        return;
    }
    finish_program(index, false);
}

void simulated_callers::finish_program(std::size_t index, bool abandoned)
{
    auto& p = m_programs[index];
    p.ended = true;
    for (auto& engine : m_fleet.engines()) {
        m_clock.after(m_fleet.delay(p.entry, engine), [&engine, index] { engine.drop_prefix(prefix_of(index)); });
    }
    if (!p.parent) {
        --m_active;
        m_recorder.program_ended(p.priority, p.account, p.started, m_clock.now(), abandoned);
        return;
    }
    const auto parent = *p.parent;
    if (!abandoned && --m_programs[parent].pending_sub_agents == 0) {
        start_next_call(parent);
    }
}

void simulated_callers::abandon_call(program& p)
{
    if (p.state == call_state::waiting_for_slot) {
        m_program_by_request.erase(p.request);
        m_fleet.send(current_call(p).model, p.entry, slot_cancel{p.request, entry_name(p.entry)});
    }
    if (p.state == call_state::submitted) {
        const auto slot = p.slot;
        const auto tokens = m_fleet.engine(p.target).cancel(slot);
        if (p.slot == slot) {
            release(p, tokens, false);
        }
    }
    p.state = call_state::none;
}

void simulated_callers::abandon_program(std::size_t root)
{
    if (m_programs[root].ended) {
        return;
    }
    for (std::size_t n = root; n < m_programs.size(); ++n) {
        auto& p = m_programs[n];
        if (p.ended || root_of(n) != root) {
            continue;
        }
        p.ended = true;
        const bool in_call = p.next_call < p.spec.calls.size() && p.requested_at.count() > 0;
        if (in_call && !p.short_wait_counted) {
            record_short_wait(p);
        }
        abandon_call(p);
        finish_program(n, true);
    }
}

void simulated_callers::report_progress()
{
    if (m_stopped) {
        return;
    }
    std::vector<std::uint64_t> slots;
    slots.reserve(m_program_by_slot.size());
    std::ranges::transform(m_program_by_slot, std::back_inserter(slots), [](const auto& item) { return item.first; });
    std::ranges::sort(slots);
    for (const auto& model : {m_workload.first_model, m_workload.second_model}) {
        std::vector<slot_progress> reports(m_workload.entries);
        for (const auto slot : slots) {
            const auto& p = m_programs[m_program_by_slot.at(slot)];
            if (current_call(p).model == model) {
                reports.at(p.entry).slots.push_back({slot, m_fleet.engine(p.target).generated(slot)});
            }
        }
        for (std::uint32_t entry = 0; entry < m_workload.entries; ++entry) {
            reports[entry].holder = entry_name(entry);
            m_fleet.send(model, entry, std::move(reports[entry]));
        }
    }
    m_clock.after(progress_interval, [this] { report_progress(); });
}

/// Samples the cache memory in use without benefit: prefixes of ended programs, and copies of a prefix of which another
/// engine of the model holds at least as much.
void simulated_callers::sample_caches()
{
    if (m_stopped) {
        return;
    }
    std::unordered_map<std::string, std::unordered_map<std::uint64_t, std::uint32_t>> longest;
    double idle = 0;
    for (const auto& engine : m_fleet.engines()) {
        auto& of_model = longest[engine.spec().model];
        for (const auto prefix : engine.cached_prefixes()) {
            const auto tokens = engine.cached_prefix(prefix);
            auto& longest_copy = of_model[prefix];
            const bool ended = m_programs.at(prefix - 1).ended;
            idle += ended ? tokens : std::min(longest_copy, tokens);
            longest_copy = std::max(longest_copy, tokens);
        }
    }
    m_recorder.add_idle_tokens(idle);
    m_clock.after(sample_interval, [this] { sample_caches(); });
}

void simulated_callers::update_long_calls(const program& p, int change)
{
    if (unbatched_work_us(current_call(p)) >= run_recorder::min_long_call_us) {
        m_long_calls[current_call(p).model] += change;
    }
}

void simulated_callers::record_short_wait(program& p)
{
    const bool urgent = p.priority <= service_class::interactive;
    if (!urgent || p.short_wait_counted || unbatched_work_us(current_call(p)) > run_recorder::max_short_call_us) {
        return;
    }
    p.short_wait_counted = true;
    m_recorder.short_call_started(m_clock.now() - p.requested_at, m_long_calls[current_call(p).model] > 0);
}

std::size_t simulated_callers::root_of(std::size_t index) const
{
    for (auto parent = m_programs[index].parent; parent; parent = m_programs[index].parent) {
        index = *parent;
    }
    return index;
}

double simulated_callers::unbatched_work_us(const call_spec& call) const
{
    return call_work_us(call, m_workload.engines.front(), 1);
}

double simulated_callers::program_work_us(const program_spec& spec) const
{
    double sum = 0;
    for (const auto& call : spec.calls) {
        sum += unbatched_work_us(call);
    }
    for (const auto& agent : spec.sub_agents) {
        sum += program_work_us(agent);
    }
    return sum;
}

/// Returns the geometric mean of the output bounds of a kind of program. Like an estimate in a service document, it is
/// the same for all programs of the kind.
std::uint32_t simulated_callers::mean_output(std::size_t kind) const
{
    const auto& output = m_workload.kinds.at(kind).output;
    return static_cast<std::uint32_t>(std::sqrt(output.low * output.high));
}

double simulated_callers::remaining_work_us(std::uint64_t prefix) const
{
    return m_programs[root_of(prefix - 1)].remaining_us;
}

double simulated_callers::speed(std::string_view engine) const
{
    const auto& e = m_fleet.engine(engine);
    return e.spec().speed / e.slowdown();
}

std::uint32_t simulated_callers::cached(std::string_view engine, std::uint64_t prefix) const
{
    return m_fleet.engine(engine).cached_prefix(prefix);
}

std::uint32_t simulated_callers::output(std::uint64_t prefix) const
{
    const auto& p = m_programs[prefix - 1];
    return current_call(p).output - p.generated;
}

} // namespace lagoonferry::bench
