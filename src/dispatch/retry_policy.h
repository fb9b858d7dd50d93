#pragma once

#include "dispatch/random_source.h"
#include "util/time.h"

#include <cstdint>
#include <optional>

namespace lagoonferry {

/// Figures of a retry policy.
struct retry_settings {
    double budget_ratio = 0.1; ///< retries and hedges allowed per first attempt
    double budget_burst = 10;  ///< tokens in the bucket at the start and at most
    timestamp initial_backoff = std::chrono::milliseconds(50);
    timestamp max_backoff = std::chrono::seconds(5);
    timestamp min_time_left = std::chrono::milliseconds(100); ///< no attempt starts with less time than this
    double hedge_factor = 3.0; ///< of the expected first token before a second attempt starts
};

/// One call as the policy sees it.
struct attempt_state {
    bool idempotent = false;
    std::uint32_t attempts = 1;           ///< started so far
    timestamp deadline{0};                ///< absolute; 0 for none
    std::optional<timestamp> retry_after; ///< what a refusal asked for
    bool refused_not_run = false;         ///< the last attempt certainly did not run
};

/// Decides on retries and hedges of one process towards one group of targets. Not thread-safe.
///
/// The budget is a token bucket: each first attempt adds `budget_ratio`, each retry or hedge takes one, so retries
/// cannot multiply the load of an outage.
class retry_policy {
public:
    retry_policy(const retry_settings& settings, std::uint64_t seed);

    /// Notes a first attempt.
    void on_first_attempt();

    /// Returns how long to wait before the next attempt, or nothing when there must be none: the call may have run and
    /// is not idempotent, the deadline leaves no time, or the budget is empty. Takes from the budget, except for a
    /// refusal that gives a time, which the dispatcher paces.
    std::optional<timestamp> next_attempt(const attempt_state& state, timestamp now);

    /// Returns whether to start a second attempt of a call that has run for `elapsed` without a first token. Only
    /// idempotent calls are hedged, once. Takes from the budget when it returns true.
    bool should_hedge(const attempt_state& state, timestamp elapsed, timestamp expected_first_token, timestamp now);

    /// Time left to pass on with an attempt that starts now; 0 for none, negative when it has passed.
    static timestamp time_left(const attempt_state& state, timestamp now);

private:
    bool take();
    timestamp backoff(std::uint32_t attempts);

    retry_settings m_settings;
    random_source m_random;
    double m_tokens;
};

} // namespace lagoonferry
