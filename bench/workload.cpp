#include "workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace lagoonferry::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double normal_utilisation = 0.6;
constexpr double straggler_output_factor = 8; // factor on the output tokens of each call
constexpr double straggler_calls_factor = 2;  // factor on the number of calls
constexpr int caller_timeout_factor = 10;
constexpr int samples_per_kind = 2000;
constexpr std::uint64_t sample_seed = 20;

double draw(const range& r, random_source& random)
{
    if (r.high <= r.low) {
        return r.low;
    }
    return r.low * std::pow(r.high / r.low, random.uniform());
}

std::uint32_t draw_count(const range& r, random_source& random)
{
    return static_cast<std::uint32_t>(std::lround(draw(r, random)));
}

void add_engines(workload& w, const std::string& model, std::span<const double> speeds)
{
    for (std::size_t n = 0; n < speeds.size(); ++n) {
        engine_spec spec;
        spec.id = model + "-" + std::to_string(n + 1);
        spec.model = model;
        spec.failure_domain = "fd-" + std::to_string(n % w.failure_domains + 1);
        spec.speed = speeds[n];
        spec.memory_tokens = static_cast<std::uint32_t>(160'000 * std::clamp(speeds[n], 0.75, 1.5));
        w.engines.push_back(spec);
    }
}

/// Callers abandon a program after ten times the latency target of its class. Bulk programs are never abandoned.
void set_caller_timeouts(workload& w)
{
    std::ranges::transform(w.latency_target, w.caller_timeout.begin(),
                           [](timestamp latency_target) { return latency_target * caller_timeout_factor; });
    w.caller_timeout.at(index_of(service_class::bulk)) = timestamp{0};
}

program_spec make_sub_agent(const workload& w, std::size_t kind, random_source& random)
{
    constexpr range calls{1, 3};
    const auto& k = w.kinds.at(kind);
    program_spec agent;
    agent.kind = kind;
    agent.calls.resize(draw_count(calls, random));
    for (std::size_t n = 0; n < agent.calls.size(); ++n) {
        auto& call = agent.calls[n];
        call.model = w.first_model;
        call.new_prompt =
            draw_count(n == 0 ? range{k.first_prompt.low / 2, k.first_prompt.high / 2} : k.next_prompt, random);
        call.output = std::max(1U, draw_count(k.output, random));
        call.pause_after = milliseconds(draw_count(k.pause_ms, random));
    }
    return agent;
}

double model_capacity(const workload& w, const std::string& model)
{
    return std::accumulate(w.engines.begin(), w.engines.end(), 0.0,
                           [&](double sum, const engine_spec& e) { return sum + (e.model == model ? e.speed : 0); });
}

/// Adds the engine time of a program in seconds to the sums of the two models in `work`.
void add_work(const workload& w, const program_spec& program, std::array<double, 2>& work)
{
    const auto& engine = w.engines.front();
    for (const auto& call : program.calls) {
        work.at(call.model == w.first_model ? 0 : 1) += call_work_us(call, engine, engine.max_batch_size) / 1e6;
    }
    for (const auto& agent : program.sub_agents) {
        add_work(w, agent, work);
    }
}

} // namespace

double call_work_us(const call_spec& call, const engine_spec& engine, std::uint32_t batch_size)
{
    const double step = engine.step_base_us / batch_size + engine.step_per_call_us;
    return call.output * step + call.new_prompt * engine.prefill_us;
}

program_spec make_program(const workload& w, std::size_t kind, random_source& random)
{
    const auto& k = w.kinds.at(kind);
    const bool straggler = random.uniform() < k.straggler_share;
    program_spec program;
    program.kind = kind;
    const double calls = draw(k.calls, random) * (straggler ? straggler_calls_factor : 1);
    program.calls.resize(std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(calls))));
    for (std::size_t n = 0; n < program.calls.size(); ++n) {
        auto& call = program.calls[n];
        call.model = random.uniform() < k.second_model_share ? w.second_model : w.first_model;
        call.new_prompt = draw_count(n == 0 ? k.first_prompt : k.next_prompt, random);
        call.output = std::max(
            1U, static_cast<std::uint32_t>(draw(k.output, random) * (straggler ? straggler_output_factor : 1)));
        call.pause_after = milliseconds(draw_count(k.pause_ms, random));
        if (n + 1 < program.calls.size() && random.uniform() < k.sub_agent_share) {
            const auto agents = std::max(1U, draw_count(k.sub_agents, random));
            for (std::uint32_t a = 0; a < agents; ++a) {
                call.sub_agents.push_back(program.sub_agents.size());
                program.sub_agents.push_back(make_sub_agent(w, kind, random));
            }
        }
    }
    return program;
}

std::vector<double> compute_normal_rates(const workload& w)
{
    random_source random(sample_seed);
    std::vector<double> rates;
    std::array<double, 2> demand{}; // engine seconds per second by model, at a total work rate of 1
    for (std::size_t kind = 0; kind < w.kinds.size(); ++kind) {
        std::array<double, 2> work{};
        for (int n = 0; n < samples_per_kind; ++n) {
            add_work(w, make_program(w, kind, random), work);
        }
        const double total = (work[0] + work[1]) / samples_per_kind;
        const double rate = w.kinds[kind].work_share / total;
        rates.push_back(rate);
        demand[0] += rate * work[0] / samples_per_kind;
        demand[1] += rate * work[1] / samples_per_kind;
    }
    const double max_utilisation =
        std::max(demand[0] / model_capacity(w, w.first_model), demand[1] / model_capacity(w, w.second_model));
    std::ranges::for_each(rates, [&](double& rate) { rate *= normal_utilisation / max_utilisation; });
    return rates;
}

workload zurich()
{
    workload w;
    w.name = "zurich";
    w.failure_domains = 3;
    w.domain_latency = timestamp{1500};
    w.entries = 8;
    w.accounts = 40;
    w.load_report_lag = seconds(2);
    w.first_model = "allocation";
    w.second_model = "application";
    constexpr std::array<double, 18> first{1.4, 1.4, 1.4, 1.4, 1.4, 1.4, 1.0, 1.0, 1.0,
                                           1.0, 1.0, 1.0, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6};
    constexpr std::array<double, 5> second{1.2, 1.2, 0.9, 0.9, 0.6};
    add_engines(w, w.first_model, first);
    add_engines(w, w.second_model, second);
    w.kinds = {
        {"safety notice", service_class::safety, 0.01, {1, 1}, {400, 800}, {}, {40, 80}, {}, 0.2, 0, {}, 0},
        {"crew swap",
         service_class::interactive,
         0.45,
         {2, 6},
         {1000, 3000},
         {200, 800},
         {60, 250},
         {100, 1500},
         0.2,
         0.1,
         {1, 2},
         0.02},
        {"coach question",
         service_class::normal,
         0.2,
         {3, 10},
         {1500, 4000},
         {200, 1000},
         {100, 400},
         {300, 4000},
         0.2,
         0.15,
         {1, 3},
         0.03},
        {"weekly draft",
         service_class::bulk,
         0.34,
         {6, 15},
         {4000, 12000},
         {300, 1500},
         {300, 1200},
         {300, 2000},
         0.1,
         0.2,
         {1, 4},
         0.05},
    };
    w.latency_target = {seconds(10), seconds(60), seconds(180), seconds(1200)};
    set_caller_timeouts(w);
    w.normal_rates = compute_normal_rates(w);
    return w;
}

workload vallarsa()
{
    workload w;
    w.name = "vallarsa";
    w.failure_domains = 4;
    w.domain_latency = timestamp{950};
    w.entries = 7;
    w.accounts = 30;
    w.load_report_lag = seconds(5);
    w.first_model = "assistant";
    w.second_model = "warehouse";
    constexpr std::array<double, 9> first{1.5, 1.5, 1.5, 1.0, 1.0, 1.0, 0.6, 0.6, 0.6};
    constexpr std::array<double, 4> second{1.3, 1.0, 1.0, 0.6};
    add_engines(w, w.first_model, first);
    add_engines(w, w.second_model, second);
    w.kinds = {
        {"humidity alarm", service_class::safety, 0.01, {1, 1}, {400, 900}, {}, {40, 90}, {}, 0.5, 0, {}, 0},
        {"status screen", service_class::interactive, 0.2, {1, 1}, {500, 1500}, {}, {20, 80}, {}, 0.8, 0, {}, 0.01},
        {"lot assessment",
         service_class::normal,
         0.4,
         {4, 10},
         {2000, 6000},
         {200, 1200},
         {100, 350},
         {500, 3000},
         0.15,
         0.2,
         {1, 3},
         0.03},
        {"broker run",
         service_class::normal,
         0.4,
         {12, 30},
         {2000, 5000},
         {300, 1200},
         {200, 600},
         {1000, 6000},
         0.2,
         0.05,
         {1, 2},
         0.03},
        {"declaration draft",
         service_class::bulk,
         0.05,
         {3, 6},
         {3000, 8000},
         {300, 1000},
         {300, 900},
         {300, 2000},
         0.3,
         0,
         {},
         0.03},
    };
    w.latency_target = {seconds(10), seconds(5), seconds(600), seconds(1200)};
    set_caller_timeouts(w);
    w.normal_rates = compute_normal_rates(w);
    w.slow_rotation_interval = seconds(15);
    return w;
}

} // namespace lagoonferry::bench
