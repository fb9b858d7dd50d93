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
constexpr double prompt_service = 0.1; // of a generated token

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
    p.work_left_us = work_us(p.spec);
    ++m_active;
    const auto caller_timeout = m_workload.caller_timeout.at(index_of(p.priority));
    if (caller_timeout.count() > 0) {
        m_clock.after(caller_timeout, [this, index] { give_up(index); });
    }
    begin(index);
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

void simulated_callers::begin(std::size_t index)
{
    auto& p = m_programs[index];
    p.generated = 0;
    p.asked = m_clock.now();
    p.counted_first = false;
    p.counted_short = false;
    count_long(p, 1);
    ask(index);
}

void simulated_callers::ask(std::size_t index)
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
    m.model = shape_of(p).model;
    m.account = "account-" + std::to_string(p.account);
    m.priority = p.priority;
    m.attained_service = static_cast<std::uint64_t>(root.service);
    m.prompt_tokens = prompt_of(p);
    m.expected_output = usual_output(p.spec.kind);
    m.prefix = prefix_of(index);
    const auto caller_timeout = m_workload.caller_timeout.at(index_of(p.priority));
    if (caller_timeout.count() > 0) {
        const auto left = root.started + caller_timeout - m_clock.now();
        m.deadline = std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(left));
    }
    p.state = call_state::asking;
    p.request = m.request;
    p.acquire_sent = m_clock.now();
    m_by_request[m.request] = index;
    m_recorder.acquire_sent(p.priority);
    m_fleet.send(m.model, p.entry, m);
}

void simulated_callers::on_dispatcher_message(const outgoing_slot_message& m)
{
    if (const auto* grant = std::get_if<slot_grant>(&m.message)) {
        if (const auto it = m_by_request.find(grant->request); it != m_by_request.end()) {
            on(it->second, *grant);
        }
    }
    else if (const auto* refuse = std::get_if<slot_refuse>(&m.message)) {
        if (const auto it = m_by_request.find(refuse->request); it != m_by_request.end()) {
            on(it->second, *refuse);
        }
    }
    else if (const auto* request = std::get_if<slot_preempt>(&m.message)) {
        preempt(request->slot);
    }
}

void simulated_callers::on(std::size_t index, const slot_grant& m)
{
    auto& p = m_programs[index];
    m_by_request.erase(m.request);
    p.state = call_state::sent;
    p.slot = m.slot;
    p.target = m.target;
    p.sent = m_clock.now();
    p.first = timestamp{0};
    m_by_slot[m.slot] = index;
    auto& engine = m_fleet.engine(m.target);
    const engine_call call{m.slot, p.priority, prefix_of(index), prompt_of(p), shape_of(p).output - p.generated};
    m_clock.after(m_fleet.delay(p.entry, engine), [this, index, call, &engine] {
        if (m_programs[index].slot == call.id) {
            engine.submit(call);
        }
    });
}

void simulated_callers::on(std::size_t index, const slot_refuse& m)
{
    auto& p = m_programs[index];
    m_by_request.erase(m.request);
    p.state = call_state::none;
    m_recorder.refused(p.priority, m_clock.now() - p.acquire_sent);
    m_clock.after(m.retry_after, [this, index] { ask(index); });
}

void simulated_callers::preempt(std::uint64_t slot)
{
    const auto it = m_by_slot.find(slot);
    if (it == m_by_slot.end()) {
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
        return; // the call ended with the step that the cancel waited for
    }
    release(p, tokens, true);
    p.generated += tokens;
    ask(index);
}

void simulated_callers::on_engine_event(engine_event event, std::uint64_t call)
{
    const auto it = m_by_slot.find(call);
    if (it == m_by_slot.end()) {
        return;
    }
    const auto index = it->second;
    auto& p = m_programs[index];
    if (event == engine_event::started) {
        call_started(index);
    }
    else if (event == engine_event::first_token) {
        p.first = m_clock.now() + m_fleet.delay(p.entry, m_fleet.engine(p.target));
        if (!p.counted_first) {
            p.counted_first = true;
            m_recorder.first_token(p.priority, p.first - p.asked);
        }
    }
    else {
        call_done(index);
    }
}

void simulated_callers::call_started(std::size_t index)
{
    auto& p = m_programs[index];
    const auto cached = m_fleet.engine(p.target).cached(p.slot);
    const auto prompt = prompt_of(p);
    auto& previously_cached = m_known[shape_of(p).model][prefix_of(index)];
    m_recorder.prompt_started(prompt, cached, previously_cached);
    previously_cached = std::max(previously_cached, prompt);
    m_programs[root_of(index)].service += prompt_service * (prompt - std::min(cached, prompt));
    count_short(p);
}

void simulated_callers::call_done(std::size_t index)
{
    auto& p = m_programs[index];
    const auto& spec = shape_of(p);
    const auto tokens = spec.output - p.generated;
    auto& previously_cached = m_known[spec.model][prefix_of(index)];
    previously_cached = std::max(previously_cached, prompt_of(p) + tokens);
    release(p, tokens, false);
    count_long(p, -1);
    p.work_left_us -= alone_us(spec);
    p.history += spec.new_prompt + spec.output;
    p.generated = 0;
    p.open_agents = spec.sub_agents.size();
    if (!spec.sub_agents.empty()) {
        start_sub_agents(index);
        return;
    }
    const bool last = p.next_call + 1 == p.spec.calls.size();
    m_clock.after(last ? timestamp{0} : spec.pause_after, [this, index] { next_step(index); });
}

/// The program goes on when all of them have ended.
void simulated_callers::start_sub_agents(std::size_t index)
{
    const auto& parent = m_programs[index];
    for (const auto agent : shape_of(parent).sub_agents) {
        const auto child = m_programs.size();
        auto& a = m_programs.emplace_back();
        a.spec = parent.spec.sub_agents.at(agent);
        a.parent = index;
        a.account = parent.account;
        a.entry = parent.entry;
        a.priority = parent.priority;
        a.started = m_clock.now();
        a.work_left_us = work_us(a.spec);
        begin(child);
    }
}

/// Returns the slot with what the entry saw of the call.
void simulated_callers::release(program& p, std::uint32_t tokens, bool preempted)
{
    const auto& engine = m_fleet.engine(p.target);
    slot_release m;
    m.slot = p.slot;
    m.holder = entry_name(p.entry);
    m.tokens = tokens;
    m.preempted = preempted;
    if (p.first.count() > 0) {
        m.first_token_us = static_cast<std::uint32_t>((p.first - p.sent).count());
        m.cached_tokens = preempted ? prompt_of(p) : engine.cached(p.slot);
        if (tokens > 1) {
            const auto streamed = m_clock.now() + m_fleet.delay(p.entry, engine) - p.first;
            m.per_token_us = static_cast<std::uint32_t>(streamed.count() / (tokens - 1));
        }
    }
    m_by_slot.erase(p.slot);
    p.slot = 0;
    p.state = call_state::none;
    m_clock.after(m_fleet.delay(p.entry, engine), [this, entry = p.entry, model = shape_of(p).model, m = std::move(m)] {
        m_fleet.send(model, entry, m);
    });
}

void simulated_callers::next_step(std::size_t index)
{
    auto& p = m_programs[index];
    if (p.ended) {
        return;
    }
    ++p.next_call;
    if (p.next_call < p.spec.calls.size()) {
        begin(index);
        return;
    }
    finish(index, false);
}

void simulated_callers::finish(std::size_t index, bool given_up)
{
    auto& p = m_programs[index];
    p.ended = true;
    for (auto& engine : m_fleet.engines()) {
        m_clock.after(m_fleet.delay(p.entry, engine), [&engine, index] { engine.drop_prefix(prefix_of(index)); });
    }
    if (!p.parent) {
        --m_active;
        m_recorder.program_ended(p.priority, p.account, p.started, m_clock.now(), given_up);
        return;
    }
    const auto parent = *p.parent;
    if (!given_up && --m_programs[parent].open_agents == 0) {
        next_step(parent);
    }
}

void simulated_callers::abandon_call(program& p)
{
    if (p.state == call_state::asking) {
        m_by_request.erase(p.request);
        m_fleet.send(shape_of(p).model, p.entry, slot_cancel{p.request, entry_name(p.entry)});
    }
    if (p.state == call_state::sent) {
        const auto slot = p.slot;
        const auto tokens = m_fleet.engine(p.target).cancel(slot);
        if (p.slot == slot) {
            release(p, tokens, false);
        }
    }
    p.state = call_state::none;
}

void simulated_callers::give_up(std::size_t root)
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
        const bool in_call = p.next_call < p.spec.calls.size() && p.asked.count() > 0;
        if (in_call && !p.counted_short) {
            count_short(p);
        }
        abandon_call(p);
        finish(n, true);
    }
}

void simulated_callers::report_progress()
{
    if (m_stopped) {
        return;
    }
    std::vector<std::uint64_t> slots;
    slots.reserve(m_by_slot.size());
    std::ranges::transform(m_by_slot, std::back_inserter(slots), [](const auto& item) { return item.first; });
    std::ranges::sort(slots);
    for (const auto& model : {m_workload.first_model, m_workload.second_model}) {
        std::vector<slot_progress> reports(m_workload.entries);
        for (const auto slot : slots) {
            const auto& p = m_programs[m_by_slot.at(slot)];
            if (shape_of(p).model == model) {
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

/// Adds the tokens that engines hold for ended programs, and the copies of prefixes of which another engine of the
/// model holds more.
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
            auto& kept = of_model[prefix];
            const bool ended = m_programs.at(prefix - 1).ended;
            idle += ended ? tokens : std::min(kept, tokens);
            kept = std::max(kept, tokens);
        }
    }
    m_recorder.idle_held(idle);
    m_clock.after(sample_interval, [this] { sample_caches(); });
}

void simulated_callers::count_long(const program& p, int change)
{
    if (alone_us(shape_of(p)) >= run_recorder::min_long_call_us) {
        m_long_calls[shape_of(p).model] += change;
    }
}

void simulated_callers::count_short(program& p)
{
    const bool urgent = p.priority <= service_class::interactive;
    if (!urgent || p.counted_short || alone_us(shape_of(p)) > run_recorder::max_short_call_us) {
        return;
    }
    p.counted_short = true;
    m_recorder.short_call_started(m_clock.now() - p.asked, m_long_calls[shape_of(p).model] > 0);
}

std::size_t simulated_callers::root_of(std::size_t index) const
{
    for (auto parent = m_programs[index].parent; parent; parent = m_programs[index].parent) {
        index = *parent;
    }
    return index;
}

double simulated_callers::alone_us(const call_spec& call) const
{
    return call_work_us(call, m_workload.engines.front(), 1);
}

double simulated_callers::work_us(const program_spec& spec) const
{
    double sum = 0;
    for (const auto& call : spec.calls) {
        sum += alone_us(call);
    }
    for (const auto& agent : spec.sub_agents) {
        sum += work_us(agent);
    }
    return sum;
}

/// What the service document would state for this kind of program; it does not tell one program from another.
std::uint32_t simulated_callers::usual_output(std::size_t kind) const
{
    const auto& output = m_workload.kinds.at(kind).output;
    return static_cast<std::uint32_t>(std::sqrt(output.low * output.high));
}

double simulated_callers::remaining_work_us(std::uint64_t prefix) const
{
    return m_programs[root_of(prefix - 1)].work_left_us;
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
    return shape_of(p).output - p.generated;
}

} // namespace lagoonferry::bench
