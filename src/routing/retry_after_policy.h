#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace lagoonferry {

/// Why a request is refused without being run.
enum class refusal_cause {
    busy,                ///< no target accepts the request now, or this gateway has just started
    stopping,            ///< this gateway stops; others accept the request at once
    history_unavailable, ///< the earlier turns are not readable, or a turn could not be kept, at the moment
    store_unavailable,   ///< the decision on the budget needs the store, which is unavailable
};

/// Chooses the retry delay of a refused caller. The delays are random, so that callers that are refused together do not
/// retry together. Callers make only a few attempts, so during an outage of the store each delay must be about one
/// second or more. No I/O. Not thread-safe.
class retry_after_policy {
public:
    explicit retry_after_policy(std::uint64_t seed) : m_random(static_cast<std::minstd_rand::result_type>(seed | 1U)) {}

    /// Returns the time after which the caller should retry.
    std::chrono::milliseconds after(refusal_cause cause);

private:
    std::minstd_rand m_random;
};

} // namespace lagoonferry
