#include "dispatch/retry_policy.h"

#include <algorithm>

namespace lagoonferry {

namespace {

constexpr std::uint32_t max_doublings = 16;

} // namespace

retry_policy::retry_policy(const retry_settings& settings, std::uint64_t seed)
    : m_settings(settings), m_random(seed), m_tokens(settings.budget_burst)
{
}

void retry_policy::on_first_attempt()
{
    m_tokens = std::min(m_settings.budget_burst, m_tokens + m_settings.budget_ratio);
}

std::optional<timestamp> retry_policy::next_attempt(const attempt_state& state, timestamp now)
{
    if (!state.idempotent && !state.refused_not_run) {
        return std::nullopt;
    }
    const auto wait = state.retry_after.value_or(backoff(state.attempts));
    const bool too_late = state.deadline.count() > 0 && now + wait + m_settings.min_time_left > state.deadline;
    if (too_late) {
        return std::nullopt;
    }
    const bool paced = state.refused_not_run && state.retry_after.has_value();
    if (!paced && !take_token()) {
        return std::nullopt;
    }
    return wait;
}

bool retry_policy::should_hedge(const attempt_state& state, timestamp elapsed, timestamp expected_first_token,
                                timestamp now)
{
    if (!state.idempotent || state.attempts != 1) {
        return false;
    }
    if (state.deadline.count() > 0 && now + expected_first_token > state.deadline) {
        return false;
    }
    const auto hedge_delay = static_cast<double>(expected_first_token.count()) * m_settings.hedge_factor;
    return static_cast<double>(elapsed.count()) > hedge_delay && take_token();
}

timestamp retry_policy::time_left(const attempt_state& state, timestamp now)
{
    if (state.deadline.count() == 0) {
        return timestamp{0};
    }
    const auto left = state.deadline - now;
    return left.count() == 0 ? timestamp{-1} : left;
}

bool retry_policy::take_token()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

timestamp retry_policy::backoff(std::uint32_t attempts)
{
    const auto doublings = std::min(attempts > 0 ? attempts - 1 : 0, max_doublings);
    const auto full = std::min(m_settings.max_backoff, m_settings.initial_backoff * (1U << doublings));
    const double jittered = static_cast<double>(full.count()) * (0.5 + 0.5 * m_random.uniform());
    return timestamp{static_cast<std::int64_t>(jittered)};
}

} // namespace lagoonferry
