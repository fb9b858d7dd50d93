#pragma once

#include "dispatch/random_source.h"
#include "dispatch/waiting_call.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace lagoonferry {

/// A target as a candidate for one call.
struct target_view {
    std::string_view id;
    bool open = false;                  ///< a slot is available to the class of the call
    std::uint32_t in_flight = 0;        ///< granted slots that have not been released
    std::uint32_t limit = 0;            ///< for the class of the call
    std::uint32_t reported_running = 0; ///< from the last load report, may be outdated
    std::uint32_t reported_waiting = 0; ///< from the last load report, may be outdated
    std::uint32_t cached_tokens = 0;    ///< tokens of the call's prefix that are known to be cached
    double step_us = 0;                 ///< estimated step time for a batch of one call
    double step_growth = 0;             ///< relative growth of the step time for each further call of the batch
    double prefill_us = 0;              ///< estimated prefill time for one uncached prompt token
    double release_us = 0;              ///< expected time until a slot is released
};

/// Strategy interface: selection of the target for a call. Not thread-safe.
class target_selector {
public:
    target_selector() = default;
    target_selector(const target_selector&) = delete;
    target_selector& operator=(const target_selector&) = delete;
    virtual ~target_selector() = default;

    /// Returns the index of an open target, or nothing if the call should keep waiting. Precondition: at least one
    /// target is open.
    virtual std::optional<std::size_t> choose(const waiting_call& call, std::span<const target_view> targets,
                                              timestamp now, random_source& random) = 0;
};

} // namespace lagoonferry
