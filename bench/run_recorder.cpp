#include "run_recorder.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace lagoonferry::bench {

namespace {

double to_s(timestamp t)
{
    return static_cast<double>(t.count()) / 1e6;
}

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

} // namespace

void run_recorder::program_ended(service_class c, std::uint32_t account, timestamp started, timestamp ended,
                                 bool abandoned)
{
    const auto latency = ended - started;
    const double seconds = abandoned ? std::numeric_limits<double>::infinity() : to_s(latency);
    (c == service_class::bulk ? m_bulk : m_foreground).push_back(seconds);
    if (c == service_class::normal && account != heavy_account) {
        m_light.push_back(seconds);
    }
    m_abandoned += abandoned && c != service_class::bulk ? 1 : 0;
    if (in_peak(m_scenario, started)) {
        const bool within_target = !abandoned && latency <= m_workload.latency_target.at(index_of(c));
        m_peak_programs.at(index_of(c)) += 1;
        m_peak_served.at(index_of(c)) += within_target ? 1 : 0;
    }
}

void run_recorder::first_token(service_class c, timestamp waited)
{
    if (c != service_class::bulk) {
        m_first_token.push_back(to_s(waited));
    }
}

void run_recorder::short_call_started(timestamp waited, bool behind_long)
{
    m_short_wait.push_back(behind_long ? to_s(waited) : 0);
}

void run_recorder::prompt_started(std::uint32_t prompt, std::uint32_t cached, std::uint32_t previously_cached)
{
    m_prompt_tokens += prompt;
    m_recomputed += std::min(previously_cached, prompt) - std::min({cached, previously_cached, prompt});
}

void run_recorder::refused(service_class c, timestamp waited)
{
    m_refused.at(index_of(c)) += 1;
    m_refuse_time.push_back(to_s(waited));
}

run_figures run_recorder::figures(const duration_histogram& token_gaps, double preempted, double granted) const
{
    run_figures f;
    f.programs = static_cast<double>(m_foreground.size() + m_bulk.size());
    f.program_p50_s = percentile(m_foreground, 0.50);
    f.program_p95_s = percentile(m_foreground, 0.95);
    f.program_p99_s = percentile(m_foreground, 0.99);
    f.light_p50_s = percentile(m_light, 0.50);
    f.light_p95_s = percentile(m_light, 0.95);
    f.bulk_p50_s = percentile(m_bulk, 0.50);
    f.bulk_p95_s = percentile(m_bulk, 0.95);
    f.given_up_share = ratio(m_abandoned, static_cast<double>(m_foreground.size()));
    f.first_token_p50_s = percentile(m_first_token, 0.50);
    f.first_token_p95_s = percentile(m_first_token, 0.95);
    f.first_token_p99_s = percentile(m_first_token, 0.99);
    f.token_gap_p50_ms = token_gaps.percentile_ms(0.50);
    f.token_gap_p95_ms = token_gaps.percentile_ms(0.95);
    f.token_gap_p99_ms = token_gaps.percentile_ms(0.99);
    f.recomputed_share = ratio(m_recomputed, m_prompt_tokens);
    f.idle_held_tokens = ratio(std::accumulate(m_idle_tokens.begin(), m_idle_tokens.end(), 0.0),
                               static_cast<double>(m_idle_tokens.size()));
    f.served_safety = served_share(service_class::safety);
    f.served_interactive = served_share(service_class::interactive);
    f.served_normal = served_share(service_class::normal);
    f.served_bulk = served_share(service_class::bulk);
    f.short_wait_p50_s = percentile(m_short_wait, 0.50);
    f.short_wait_p99_s = percentile(m_short_wait, 0.99);
    const double acquires = std::accumulate(m_acquires.begin() + 1, m_acquires.end(), 0.0);
    const double refused = std::accumulate(m_refused.begin() + 1, m_refused.end(), 0.0);
    f.refused_safety = ratio(m_refused.front(), m_acquires.front());
    f.refused_other = ratio(refused, acquires);
    f.refuse_time_p95_s = percentile(m_refuse_time, 0.95);
    f.preempted = 1000 * ratio(preempted, granted);
    return f;
}

double run_recorder::served_share(service_class c) const
{
    return ratio(m_peak_served.at(index_of(c)), m_peak_programs.at(index_of(c)));
}

} // namespace lagoonferry::bench
