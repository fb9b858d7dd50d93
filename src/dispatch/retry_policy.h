#pragma once

#include "dispatch/random_source.h"
#include "util/time.h"

#include <cstdint>
#include <optional>

namespace lagoonferry {

/// Parameters of a retry policy.
struct retry_settings {
    double budget_ratio = 0.1; ///< retry tokens earned by each first attempt
    double budget_burst = 10;  ///< initial and maximum number of retry tokens
    timestamp initial_backoff = std::chrono::milliseconds(50);
    timestamp max_backoff = std::chrono::seconds(5);
    timestamp min_time_left = std::chrono::milliseconds(100); ///< no attempt starts with less time left
    double hedge_factor = 3.0; ///< a hedge starts after this multiple of the expected time to the first token
};

/// State of one call.
struct attempt_state {
    bool idempotent = false;
    std::uint32_t attempts = 1;           ///< started so far
    timestamp deadline{0};                ///< absolute; 0 for none
    std::optional<timestamp> retry_after; ///< delay requested by a refusal
    bool refused_not_run = false;         ///< the last attempt was refused and certainly did not run
};

/// Decides on retries and hedged attempts of one process for one group of targets. Not thread-safe.
///
/// The retry budget is a token bucket: each first attempt adds `budget_ratio`, each retry or hedge takes one. This
/// bounds the load that retries add during an outage.
class retry_policy {
public:
    retry_policy(const retry_settings& settings, std::uint64_t seed);

    /// Records a first attempt.
    void on_first_attempt();

    /// Returns the delay before the next attempt, or nothing if there must be none: the call may have run and is not
    /// idempotent, the deadline leaves no time, or the budget is exhausted. Takes a token, except after a refusal with
    /// a retry time, because the dispatcher paces these retries itself.
    std::optional<timestamp> next_attempt(const attempt_state& state, timestamp now);

    /// Returns whether to start a second, concurrent attempt of a call that has run for `elapsed` without a first
    /// token. Only idempotent calls are hedged, and only once. Takes a token if it returns true.
    bool should_hedge(const attempt_state& state, timestamp elapsed, timestamp expected_first_token, timestamp now);

    /// Returns the time until the deadline for an attempt that starts now; 0 without a deadline, negative if the
    /// deadline has passed.
    static timestamp time_left(const attempt_state& state, timestamp now);

private:
    bool take_token();
    timestamp backoff(std::uint32_t attempts);

    retry_settings m_settings;
    random_source m_random;
    double m_tokens;
};

} // namespace lagoonferry
