#pragma once

#include "dispatch/random_source.h"
#include "fake_engine.h"
#include "util/service_class.h"
#include "util/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonferry::bench {

/// Bounds of a log-uniform random quantity.
struct range {
    double low = 0;
    double high = 0;
};

/// Distribution of the calls, sizes and class of one kind of program. Policies have no access to it.
struct program_kind {
    std::string name;
    service_class priority = service_class::normal;
    double work_share = 0; ///< share of the total demand, in engine time
    range calls;
    range first_prompt;            ///< tokens
    range next_prompt;             ///< tokens that each later call adds after the previous output
    range output;                  ///< tokens
    range pause_ms;                ///< duration of the tool calls between two calls
    double second_model_share = 0; ///< share of the calls
    double sub_agent_share = 0;    ///< share of the calls that start sub-agents before the next call
    range sub_agents;
    double straggler_share = 0; ///< share of the programs that are stragglers
};

/// One call of a generated program.
struct call_spec {
    std::string model;
    std::uint32_t new_prompt = 0; ///< prompt tokens that are not in the history
    std::uint32_t output = 0;
    timestamp pause_after{0};
    std::vector<std::size_t> sub_agents; ///< indices into `program_spec::sub_agents`; they run after the call
};

/// Generated program with all its calls.
struct program_spec {
    std::size_t kind = 0;
    std::vector<call_spec> calls;
    std::vector<program_spec> sub_agents;
};

/// Demand, fleet and network of one service.
struct workload {
    std::string name;
    std::uint32_t failure_domains = 1;
    timestamp domain_latency{0}; ///< one-way latency between failure domains
    std::uint32_t entries = 1;
    std::uint32_t accounts = 1;
    timestamp load_report_lag{0};
    std::vector<engine_spec> engines;
    std::vector<program_kind> kinds;
    std::string first_model;
    std::string second_model;
    per_class<timestamp> latency_target{}; ///< for the whole program
    per_class<timestamp> caller_timeout{}; ///< after which the caller abandons the program; 0: never
    std::vector<double> normal_rates;      ///< programs per second by kind at normal demand
    timestamp slow_rotation_interval{0};   ///< after which another fifth of the targets is slow; 0: always the same
};

/// Zürich: crew swaps, safety notices and weekly drafts on 18 and 5 engines in 3 failure domains.
workload zurich();

/// Vallarsa: status screens, lot assessments and broker runs on 9 and 4 engines in 4 failure domains.
workload vallarsa();

/// Generates a random program of a kind.
program_spec make_program(const workload& w, std::size_t kind, random_source& random);

/// Returns the engine time of a call at speed 1 if `batch_size` calls share the steps and all of the history is cached.
double call_work_us(const call_spec& call, const engine_spec& engine, std::uint32_t batch_size);

/// Account 0 starts programs only in scenarios with a heavy account.
constexpr std::uint32_t heavy_account = 0;

/// Returns the programs per second of each kind at normal demand. At normal demand, the engines of the busier model are
/// 60 % utilised, if all history is cached and all batches are full.
std::vector<double> compute_normal_rates(const workload& w);

} // namespace lagoonferry::bench
