#pragma once

#include <array>
#include <span>
#include <string_view>

namespace lagoonferry::bench {

/// Figures of one run. Foreground programs are those of the classes safety, interactive and normal, for which a caller
/// waits. A program that its caller abandoned counts with an infinite latency.
struct run_figures {
    double programs = 0;
    double program_p50_s = 0; ///< foreground
    double program_p95_s = 0;
    double program_p99_s = 0;
    double light_p50_s = 0; ///< normal programs of all accounts except the heavy account
    double light_p95_s = 0; ///< normal programs of all accounts except the heavy account
    double bulk_p50_s = 0;
    double bulk_p95_s = 0;
    double given_up_share = 0;    ///< abandoned share of the foreground programs
    double first_token_p50_s = 0; ///< foreground calls, from the first acquire of the call
    double first_token_p95_s = 0;
    double first_token_p99_s = 0;
    double token_gap_p50_ms = 0;
    double token_gap_p95_ms = 0;
    double token_gap_p99_ms = 0;
    double recomputed_share = 0; ///< share of prompt tokens that were recomputed although an engine had held them
    double idle_held_tokens = 0; ///< mean of the tokens cached for ended programs or duplicated on another engine
    double served_safety = 0;    ///< share of the programs of the demand peak within the latency target of their class
    double served_interactive = 0;
    double served_normal = 0;
    double served_bulk = 0;
    double short_wait_p50_s = 0; ///< waiting time of short calls behind long calls
    double short_wait_p99_s = 0;
    double refused_safety = 0; ///< refused share of the acquires
    double refused_other = 0;
    double refuse_time_p95_s = 0; ///< from an acquire to its refusal
    double preempted = 0;         ///< preempted calls per thousand granted calls
};

/// Figure and its name in tables and JSON.
struct figure_column {
    std::string_view name;
    double run_figures::*value;
};

/// Returns all figures in the order of the report. Thread-safe.
std::span<const figure_column> figure_columns();

} // namespace lagoonferry::bench
