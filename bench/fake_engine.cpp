#include "fake_engine.h"

#include <algorithm>
#include <limits>

namespace lagoonferry::bench {

namespace {

constexpr std::uint32_t prefill_chunk = 256; // prompt tokens per step

} // namespace

fake_engine::fake_engine(virtual_clock& clock, engine_spec spec, listener on_event)
    : m_clock(clock), m_spec(std::move(spec)), m_listener(std::move(on_event))
{
}

void fake_engine::submit(const engine_call& call)
{
    if (m_failed) {
        return;
    }
    const auto position = std::ranges::upper_bound(m_waiting, call.priority, {}, &engine_call::priority);
    m_waiting.insert(position, call);
    truncate_plan();
}

std::uint32_t fake_engine::cancel(std::uint64_t call)
{
    std::erase_if(m_waiting, [call](const engine_call& c) { return c.id == call; });
    if (find(call) == nullptr) {
        return 0;
    }
    finish_steps(completed_steps());
    auto* running = find(call);
    if (running == nullptr) {
        schedule_steps();
        return 0;
    }
    const auto generated = running->generated;
    end_call(static_cast<std::size_t>(running - m_running.data()));
    schedule_steps();
    return generated;
}

void fake_engine::drop_prefix(std::uint64_t prefix)
{
    erase_prefix(prefix);
}

void fake_engine::fail()
{
    m_failed = true;
    m_waiting.clear();
    m_running.clear();
    m_lru_prefixes.clear();
    m_cache.clear();
    m_cache_tokens = 0;
    m_running_tokens = 0;
    m_planned_steps = 0;
    ++m_plan_number;
}

void fake_engine::change_model(const std::string& model)
{
    m_spec.model = model;
    m_lru_prefixes.clear();
    m_cache.clear();
    m_cache_tokens = 0;
}

void fake_engine::set_slowdown(double factor)
{
    finish_steps(completed_steps());
    m_slowdown = factor;
    schedule_steps();
}

std::uint32_t fake_engine::generated(std::uint64_t call) const
{
    const auto* running = find(call);
    if (running == nullptr) {
        return 0;
    }
    const auto steps = running->prefill_left > 0 ? 0 : completed_steps();
    return running->generated + static_cast<std::uint32_t>(steps);
}

std::uint32_t fake_engine::cached(std::uint64_t call) const
{
    const auto* running = find(call);
    return running == nullptr ? 0 : running->cached;
}

std::uint32_t fake_engine::cached_prefix(std::uint64_t prefix) const
{
    const auto it = m_cache.find(prefix);
    return it == m_cache.end() ? 0 : it->second.tokens;
}

std::uint64_t fake_engine::completed_steps() const
{
    if (m_planned_steps == 0) {
        return 0;
    }
    const auto steps = static_cast<std::uint64_t>((m_clock.now() - m_plan_start) / m_step_time);
    return std::min(steps, m_planned_steps);
}

/// Ends the planned steps after the step in progress, so that new calls join the batch at that point.
void fake_engine::truncate_plan()
{
    if (m_planned_steps == 0) {
        schedule_steps();
        return;
    }
    const auto done = completed_steps();
    if (done + 1 >= m_planned_steps) {
        return;
    }
    m_planned_steps = done + 1;
    const auto plan_number = ++m_plan_number;
    m_clock.at(m_plan_start + m_step_time * static_cast<std::int64_t>(m_planned_steps), [this, plan_number] {
        if (plan_number == m_plan_number) {
            finish_steps(m_planned_steps);
            schedule_steps();
        }
    });
}

/// Returns the first call in order of priority, then arrival, whose prompt is not fully computed.
std::vector<fake_engine::running_call>::iterator fake_engine::next_prefill()
{
    auto best = m_running.end();
    for (auto it = m_running.begin(); it != m_running.end(); ++it) {
        if (it->prefill_left > 0 && (best == m_running.end() || it->call.priority < best->call.priority)) {
            best = it;
        }
    }
    return best;
}

/// Admits waiting calls and schedules the next steps. While a prompt is computed, this is a single step; otherwise it
/// is all steps of equal length until the next call ends.
void fake_engine::schedule_steps()
{
    const auto plan_number = ++m_plan_number;
    m_planned_steps = 0;
    admit();
    if (m_running.empty()) {
        return;
    }
    const auto prefilling = next_prefill();
    m_prefilling = static_cast<std::size_t>(prefilling - m_running.begin());
    std::uint64_t steps = std::numeric_limits<std::uint64_t>::max();
    double decoding = 0;
    for (const auto& r : m_running) {
        if (r.prefill_left == 0) {
            steps = std::min<std::uint64_t>(steps, r.call.output - r.generated);
            decoding += 1;
        }
    }
    double step_us = m_spec.step_base_us + m_spec.step_per_call_us * decoding;
    if (prefilling != m_running.end()) {
        steps = 1;
        step_us += m_spec.prefill_us * std::min(prefilling->prefill_left, prefill_chunk);
    }
    m_planned_steps = steps;
    m_step_time = timestamp{static_cast<std::int64_t>(step_us * m_slowdown / m_spec.speed)};
    m_plan_start = m_clock.now();
    m_clock.at(m_plan_start + m_step_time * static_cast<std::int64_t>(m_planned_steps), [this, plan_number] {
        if (plan_number == m_plan_number) {
            finish_steps(m_planned_steps);
            schedule_steps();
        }
    });
}

void fake_engine::finish_steps(std::uint64_t steps)
{
    if (steps == 0 || m_planned_steps == 0) {
        return;
    }
    double decoding = 0;
    std::vector<std::pair<engine_event, std::uint64_t>> events;
    for (std::size_t n = 0; n < m_running.size(); ++n) {
        auto& r = m_running[n];
        if (n == m_prefilling) {
            r.prefill_left -= std::min(r.prefill_left, prefill_chunk);
            if (r.prefill_left == 0) {
                r.generated = std::max(r.generated, 1U);
                events.emplace_back(engine_event::first_token, r.call.id);
                ++m_running_tokens;
            }
        }
        else if (r.prefill_left == 0) {
            r.generated += static_cast<std::uint32_t>(steps);
            m_running_tokens += steps;
            decoding += 1;
        }
    }
    if (m_token_gaps != nullptr) {
        m_token_gaps->add(static_cast<double>(m_step_time.count()), decoding * static_cast<double>(steps));
    }
    for (const auto& r : m_running) {
        if (r.prefill_left == 0 && r.generated >= r.call.output) {
            events.emplace_back(engine_event::done, r.call.id);
        }
    }
    m_planned_steps = 0;
    ++m_plan_number;
    for (const auto& [event, call] : events) {
        m_listener(event, call);
        if (event == engine_event::done) {
            end_call(static_cast<std::size_t>(find(call) - m_running.data()));
        }
    }
    evict_prefixes(0, 0);
}

void fake_engine::admit()
{
    while (!m_waiting.empty() && m_running.size() < m_spec.max_batch_size) {
        const auto call = m_waiting.front();
        const auto cached = std::min(cached_prefix(call.prefix), call.prompt);
        // The memory of the cached prefix passes from the cache to the call, so only the rest must be free.
        const bool fits = evict_prefixes(call.prompt - cached, call.prefix);
        if (!fits && !m_running.empty()) {
            return;
        }
        erase_prefix(call.prefix, false);
        m_waiting.erase(m_waiting.begin());
        // At least the last prompt token is computed: its step generates the first output token.
        const auto uncomputed = std::max(call.prompt - cached, 1U);
        m_running.push_back({call, cached, uncomputed, 0});
        m_running_tokens += call.prompt;
        m_listener(engine_event::started, call.id);
    }
}

bool fake_engine::evict_prefixes(std::uint32_t tokens, std::uint64_t pinned_prefix)
{
    auto it = m_lru_prefixes.end();
    while (m_cache_tokens + m_running_tokens + tokens > m_spec.memory_tokens && it != m_lru_prefixes.begin()) {
        --it;
        const auto prefix = *it;
        if (prefix == pinned_prefix) {
            continue;
        }
        ++it;
        erase_prefix(prefix);
    }
    return m_cache_tokens + m_running_tokens + tokens <= m_spec.memory_tokens;
}

void fake_engine::insert_prefix(std::uint64_t prefix, std::uint32_t tokens)
{
    erase_prefix(prefix, false);
    m_lru_prefixes.push_front(prefix);
    m_cache[prefix] = {tokens, m_lru_prefixes.begin()};
    m_cache_tokens += tokens;
    if (on_cache_change) {
        on_cache_change(prefix, tokens);
    }
}

void fake_engine::erase_prefix(std::uint64_t prefix, bool notify)
{
    const auto it = m_cache.find(prefix);
    if (it == m_cache.end()) {
        return;
    }
    m_cache_tokens -= it->second.tokens;
    m_lru_prefixes.erase(it->second.lru_position);
    m_cache.erase(it);
    if (on_cache_change && notify) {
        on_cache_change(prefix, 0);
    }
}

void fake_engine::end_call(std::size_t index)
{
    const auto r = m_running.at(index);
    m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
    m_running_tokens -= r.call.prompt + r.generated;
    const auto computed = r.call.prompt - std::min(r.prefill_left, r.call.prompt);
    insert_prefix(r.call.prefix, computed + r.generated);
}

fake_engine::running_call* fake_engine::find(std::uint64_t call)
{
    const auto it = std::ranges::find_if(m_running, [call](const auto& r) { return r.call.id == call; });
    return it == m_running.end() ? nullptr : &*it;
}

const fake_engine::running_call* fake_engine::find(std::uint64_t call) const
{
    return const_cast<fake_engine*>(this)->find(call);
}

} // namespace lagoonferry::bench
