#pragma once

#include "util/service_class.h"
#include "util/time.h"

#include <cstdint>
#include <string_view>

namespace lagoonferry::bench {

/// Course of one run.
enum class scenario : std::uint8_t {
    day,    ///< normal demand, twice the normal demand for six minutes (the crest), normal demand
    steady, ///< normal demand
    slowed, ///< normal demand while a fifth of the targets takes five times as long
    surge,  ///< half of normal demand; four times the urgent programs for 15 s in each minute, twice the bulk programs,
            ///< and one account that asks for as many normal programs as all others at normal demand
    moved,  ///< normal demand whose calls change their model after eight minutes: orders bench
    swinging, ///< normal demand whose calls change their model every three minutes: orders bench
};

/// Scenarios of the policy comparison; those of the orders bench follow them.
constexpr std::size_t scenario_count = 4;

std::string_view to_string(scenario s);

constexpr double slowdown = 5;
constexpr double slowed_share = 0.2;

/// Demand for programs of a class at a time, as a multiple of normal demand; 0 after the last arrival.
double demand(scenario s, service_class c, timestamp now);

/// Demand of the one heavy account beside that, as a multiple of normal demand.
double heavy_demand(scenario s, service_class c, timestamp now);

/// Upper bound of `demand` and `heavy_demand`.
constexpr double max_demand = 4;

/// Time of the last arrival.
timestamp arrivals_end(scenario s);

/// Whether a program that arrives now counts for the crest.
bool in_peak(scenario s, timestamp now);

/// Whether programs that arrive now call the second model where they otherwise call the first, and the reverse.
bool models_swapped(scenario s, timestamp now);

/// Whether targets are slowed at a time.
bool is_slowed(scenario s, timestamp now);

} // namespace lagoonferry::bench
