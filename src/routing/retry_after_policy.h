#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace lagoonferry {

/// Why a request is refused as not run, as far as it matters for the time of its return.
enum class refusal_cause {
    busy,              ///< no target takes it now, or this gateway has just started
    store_unavailable, ///< its budget cannot be decided without the store
};

/// Chooses when a refused caller comes back. Answers two load patterns: callers that are refused together must not
/// return together, and callers have few attempts, so during an outage of the store each must be worth a second or
/// more. Decision code without I/O; not thread-safe.
class retry_after_policy {
public:
    explicit retry_after_policy(std::uint64_t seed) : m_random(static_cast<std::minstd_rand::result_type>(seed | 1U)) {}

    /// Returns the time after which the caller should come back.
    std::chrono::milliseconds after(refusal_cause cause);

private:
    std::minstd_rand m_random;
};

} // namespace lagoonferry
