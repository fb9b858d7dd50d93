#include "engine_core.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace lagoonferry::standin {

namespace {

timestamp duration_of(double tokens, double tokens_per_second)
{
    return std::chrono::duration_cast<timestamp>(std::chrono::duration<double>(tokens / tokens_per_second));
}

auto scheduling_order(const std::shared_ptr<sequence>& it)
{
    return std::tuple(it->job.priority, it->arrival_order);
}

timestamp next_token_of(const std::shared_ptr<sequence>& it)
{
    return it->next_token_time;
}

} // namespace

engine_core::engine_core(const engine_limits& limits, prefix_cache::event_handler on_event)
    : m_limits(limits), m_cache(std::move(on_event))
{
}

std::shared_ptr<sequence> engine_core::submit(timestamp now, engine_job job)
{
    auto added = std::make_shared<sequence>();
    added->job = std::move(job);
    added->arrival_order = ++m_last_arrival_order;
    added->generated = added->job.resumed_tokens;
    if (added->reserved() > m_limits.cache_tokens) {
        return nullptr;
    }
    ++m_totals.submitted;
    m_waiting.push_back(added);
    advance(now);
    return added;
}

bool engine_core::cancel(timestamp now, const std::string& call_id)
{
    std::vector<std::shared_ptr<sequence>> found;
    const auto same_call = [&](const std::shared_ptr<sequence>& it) { return it->job.call_id == call_id; };
    std::ranges::copy_if(m_waiting, std::back_inserter(found), same_call);
    std::ranges::copy_if(m_running, std::back_inserter(found), same_call);
    std::ranges::for_each(found, [&](const std::shared_ptr<sequence>& it) { cancel(now, *it); });
    return !found.empty();
}

void engine_core::cancel(timestamp now, sequence& seq)
{
    if (seq.ended()) {
        return;
    }
    if (seq.state == sequence_state::running) {
        return_blocks(now, seq);
    }
    seq.state = sequence_state::cancelled;
    ++m_totals.cancelled;
    seq.changed.notify_all();
    const auto same = [&](const std::shared_ptr<sequence>& it) { return it.get() == &seq; };
    m_waiting.remove_if(same);
    m_running.remove_if(same);
    start_waiting(now);
}

void engine_core::advance(timestamp now)
{
    m_cache.expire(now);
    start_waiting(now);
    while (!m_running.empty()) {
        const auto next = std::ranges::min_element(m_running, {}, next_token_of);
        if ((*next)->next_token_time > now) {
            return;
        }
        generate((*next)->next_token_time, next);
    }
}

void engine_core::set_slow_factor(timestamp now, double factor)
{
    advance(now);
    const double change = factor / m_slow_factor;
    for (const auto& it : m_running) {
        it->next_token_time = now + std::chrono::duration_cast<timestamp>((it->next_token_time - now) * change);
    }
    m_slow_factor = factor;
}

std::optional<timestamp> engine_core::next_change() const
{
    const auto expiry = m_cache.next_expiry();
    if (m_running.empty()) {
        return expiry;
    }
    const timestamp token = next_token_of(*std::ranges::min_element(m_running, {}, next_token_of));
    return std::min(token, expiry.value_or(token));
}

std::uint64_t engine_core::release(const std::string& program)
{
    const auto mark_released = [&](const std::shared_ptr<sequence>& it) { it->released |= it->job.program == program; };
    std::ranges::for_each(m_waiting, mark_released);
    std::ranges::for_each(m_running, mark_released);
    return m_cache.release(program);
}

bool engine_core::import_cache(timestamp now, const std::string& program, std::vector<prompt_block> blocks)
{
    if (token_sum(blocks) + reserved_tokens() > m_limits.cache_tokens) {
        return false;
    }
    m_cache.store(now, program, std::move(blocks), timestamp{0}, "imported");
    m_cache.evict_to(m_limits.cache_tokens - reserved_tokens());
    return true;
}

engine_load engine_core::load() const
{
    const engine_cache_state cache = cache_state();
    const std::uint64_t sum = std::accumulate(cache.programs.begin(), cache.programs.end(), std::uint64_t{0},
                                              [](std::uint64_t n, const auto& it) { return n + it.second; });
    return {static_cast<std::uint32_t>(m_running.size()),
            static_cast<std::uint32_t>(m_waiting.size()),
            static_cast<std::uint32_t>(m_limits.max_batch_size),
            sum,
            m_limits.cache_tokens,
            m_limits.decode_tokens_per_second / m_slow_factor,
            std::nullopt};
}

engine_cache_state engine_core::cache_state() const
{
    engine_cache_state out{m_limits.cache_tokens, m_cache.tokens_by_program()};
    for (const auto& it : m_running) {
        out.programs[it->job.program] += token_sum(it->job.prompt) + it->generated;
    }
    return out;
}

timestamp engine_core::token_interval() const
{
    return duration_of(m_slow_factor, m_limits.decode_tokens_per_second);
}

std::uint64_t engine_core::reserved_tokens() const
{
    return std::accumulate(m_running.begin(), m_running.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const auto& it) { return sum + it->reserved(); });
}

void engine_core::start_waiting(timestamp now)
{
    while (!m_waiting.empty()) {
        const auto first = std::ranges::min_element(m_waiting, {}, scheduling_order);
        if (!fits(**first) && !preempt_for(now, **first)) {
            return;
        }
        if (fits(**first)) {
            start(now, first);
        }
    }
}

bool engine_core::fits(const sequence& candidate) const
{
    return m_running.size() < m_limits.max_batch_size &&
           reserved_tokens() + candidate.reserved() <= m_limits.cache_tokens;
}

bool engine_core::preempt_for(timestamp now, const sequence& candidate)
{
    if (m_running.empty()) {
        return false;
    }
    const auto last = std::ranges::max_element(m_running, {}, scheduling_order);
    sequence& victim = **last;
    if (victim.job.priority <= candidate.job.priority) {
        return false;
    }
    return_blocks(now, victim);
    victim.state = sequence_state::queued;
    ++m_totals.preempted;
    m_waiting.splice(m_waiting.end(), m_running, last);
    return true;
}

void engine_core::start(timestamp now, sequence_list::iterator it)
{
    sequence& seq = **it;
    seq.reused_blocks = m_cache.take(seq.job.program);
    seq.cached = common_prefix_tokens(seq.reused_blocks, seq.job.prompt);
    seq.state = sequence_state::running;
    const std::uint64_t uncached = token_sum(seq.job.prompt) + seq.generated - seq.cached;
    m_totals.cached_tokens += seq.cached;
    m_totals.prefilled_tokens += uncached;
    const timestamp prefill =
        duration_of(static_cast<double>(uncached) * m_slow_factor, m_limits.prefill_tokens_per_second);
    seq.next_token_time = now + prefill + token_interval();
    m_running.splice(m_running.end(), m_waiting, it);
    m_cache.evict_to(m_limits.cache_tokens - reserved_tokens());
}

void engine_core::generate(timestamp now, sequence_list::iterator it)
{
    const std::shared_ptr<sequence> seq = *it;
    ++m_totals.generated_tokens;
    ++seq->generated;
    seq->next_token_time += token_interval();
    if (seq->generated >= seq->job.tokens) {
        m_running.erase(it);
        seq->state = sequence_state::finished;
        ++m_totals.finished;
        std::vector<prompt_block> blocks = seq->job.prompt;
        blocks.push_back(seq->job.answer);
        store(now, *seq, std::move(blocks));
        start_waiting(now);
    }
    seq->changed.notify_all();
}

void engine_core::return_blocks(timestamp now, sequence& seq)
{
    const bool prefilled = seq.generated > seq.job.resumed_tokens;
    store(now, seq, prefilled ? seq.job.prompt : std::move(seq.reused_blocks));
}

void engine_core::store(timestamp now, sequence& seq, std::vector<prompt_block> blocks)
{
    if (!seq.released) {
        m_cache.store(now, seq.job.program, std::move(blocks), seq.job.pin_duration, "stored");
    }
}

} // namespace lagoonferry::standin
