#pragma once

#include "dispatch/random_source.h"
#include "dispatch/waiting_call.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace lagoonferry {

/// What the dispatcher knows of one target when it places one call.
struct target_view {
    std::string_view id;
    bool open = false;                  ///< a slot is free for the class of the call
    std::uint32_t in_flight = 0;        ///< slots granted and not released
    std::uint32_t limit = 0;            ///< for the class of the call
    std::uint32_t reported_running = 0; ///< from the last load report, late
    std::uint32_t reported_waiting = 0; ///< from the last load report, late
    std::uint32_t cached_tokens = 0;    ///< of the call's prefix, as far as known
    double step_us = 0;                 ///< time between tokens of a call that is alone, estimated
    double step_growth = 0;             ///< share by which each further call lengthens the step
    double prefill_us = 0;              ///< time for a prompt token that is not cached, estimated
    double release_us = 0;              ///< expected time until a slot is free again, when none is open
};

/// Strategy: choice of the target. Not thread-safe.
class target_selector {
public:
    target_selector() = default;
    target_selector(const target_selector&) = delete;
    target_selector& operator=(const target_selector&) = delete;
    virtual ~target_selector() = default;

    /// Returns the index of an open target, or nothing when the call should keep waiting.
    /// Precondition: at least one target is open.
    virtual std::optional<std::size_t> choose(const waiting_call& call, std::span<const target_view> targets,
                                              timestamp now, random_source& random) = 0;
};

} // namespace lagoonferry
