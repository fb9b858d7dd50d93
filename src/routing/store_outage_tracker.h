#pragma once

#include "util/time.h"

#include <chrono>
#include <optional>

namespace lagoonferry {

struct outage_timing {
    /// How long after the return of the store a target stays in use if its entry may merely have expired. Live targets
    /// write their entries again within about two seconds after the store is back.
    timestamp lapse_grace = std::chrono::milliseconds(2'300);
    /// How long after the last failed store call a removal may still be an expired entry of a live target, while no
    /// call has succeeded since.
    timestamp store_failure_window = std::chrono::milliseconds(3'000);
    /// Shorter interruptions of the store cannot make entries expire: targets renew them several times in that period.
    timestamp min_outage = std::chrono::milliseconds(1'000);
    /// If no gateway got a response for this time, one failed call of this gateway shows an outage. A gateway that does
    /// not read the list calls the store seldom.
    timestamp long_silence = std::chrono::milliseconds(2'000);
};

/// Tells an outage of the store, in which entries of live targets expire, from calls that fail at one gateway only. No
/// I/O. Not thread-safe.
class store_outage_tracker {
public:
    explicit store_outage_tracker(outage_timing timing = {}) : m_timing(timing) {}

    /// Records a failed call of this gateway.
    void note_failure(timestamp now);

    /// Records that the store has responded, to this gateway or to another one.
    void note_response(timestamp now);

    /// Returns how much longer a target stays in use whose entry this gateway finds removed; 0 if the entry cannot have
    /// expired. The time starts at the return of the store, not at the removal: a target that is removed later has
    /// left, and callers must not be sent there for the whole grace time.
    timestamp grace_left(timestamp now) const;

    /// Returns which part of the grace time that another gateway claims for a removed entry may be true. The store may
    /// have been unreachable for that gateway only, so none of it is if responses are known from the time of the
    /// claimed outage. What is accepted also holds for later removals that this gateway finds itself.
    timestamp accept_grace(timestamp claimed, timestamp now);

private:
    timestamp left_of_grace(timestamp store_back_at, timestamp now) const;

    outage_timing m_timing;
    std::optional<timestamp> m_failing_since; ///< first failed call of this gateway after the last response
    std::optional<timestamp> m_last_failure;  ///< after the last response
    std::optional<timestamp> m_last_response;
    std::optional<timestamp> m_silent_until; ///< end of the last time without a response that may have been an outage
    std::optional<timestamp> m_back_at;      ///< end of the last outage
};

} // namespace lagoonferry
