#pragma once

#include "util/service_class.h"
#include "util/time.h"

#include <cstdint>
#include <string_view>

namespace lagoonferry::bench {

/// Demand and engine speeds of a run over time.
enum class scenario : std::uint8_t {
    day,      ///< normal demand with a peak of six minutes at twice the normal demand
    steady,   ///< normal demand
    slowed,   ///< normal demand while a fifth of the targets takes five times as long per step
    surge,    ///< half of normal demand, but twice the bulk programs, bursts of four times the safety and interactive
              ///< programs for 15 s in each minute, and a heavy account that starts as many normal programs as all
              ///< accounts do at normal demand
    moved,    ///< normal demand; calls swap their models after eight minutes (orders benchmark only)
    swinging, ///< normal demand; calls swap their models every three minutes (orders benchmark only)
};

/// Number of scenarios of the policy comparison, which precede those of the orders benchmark in the enumeration.
constexpr std::size_t scenario_count = 4;

std::string_view to_string(scenario s);

constexpr double slowdown = 5;       ///< factor on the step time of slowed engines
constexpr double slowed_share = 0.2; ///< fraction of the engines of each model that is slowed

/// Returns the demand of all accounts but the heavy account for programs of a class, as a multiple of normal demand. It
/// is 0 from `arrivals_end` on.
double demand(scenario s, service_class c, timestamp now);

/// Returns the additional demand of the heavy account, as a multiple of normal demand.
double heavy_demand(scenario s, service_class c, timestamp now);

/// Upper bound of `demand` and `heavy_demand`.
constexpr double max_demand = 4;

/// Returns the time after which no programs arrive.
timestamp arrivals_end(scenario s);

/// Returns whether a program that arrives now belongs to the demand peak.
bool in_peak(scenario s, timestamp now);

/// Returns whether programs that arrive now call the second model in place of the first and vice versa.
bool models_swapped(scenario s, timestamp now);

/// Returns whether some targets are slowed at a time.
bool is_slowed(scenario s, timestamp now);

} // namespace lagoonferry::bench
