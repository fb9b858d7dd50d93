#include "policy_run.h"

#include "fleet.h"
#include "run_recorder.h"
#include "simulated_callers.h"

#include <algorithm>
#include <cmath>

namespace lagoonferry::bench {

namespace {

using std::chrono::seconds;

constexpr timestamp run_end = seconds(3600);
constexpr timestamp bulk_batch_start = seconds(60); // the bulk programs of two minutes arrive together
constexpr timestamp bulk_batch_end = seconds(180);

/// Arrivals of one kind of program: a Poisson process whose rate follows the demand. Each kind has a random sequence of
/// its own, so that every policy gets the same programs at the same times.
class arrivals {
public:
    arrivals(virtual_clock& clock, const workload& w, scenario s, std::size_t kind, double rate, std::uint64_t seed,
             simulated_callers& callers)
        : m_clock(clock), m_workload(w), m_scenario(s), m_kind(kind), m_rate(rate), m_random(seed), m_callers(callers)
    {
    }

    void start()
    {
        if (arrives_in_batch()) {
            const double batch = m_rate * static_cast<double>((bulk_batch_end - bulk_batch_start).count()) / 1e6;
            m_clock.at(bulk_batch_start, [this, batch] {
                for (int n = 0; n < std::lround(batch); ++n) {
                    start_regular_program();
                }
            });
        }
        schedule_next();
    }

private:
    bool arrives_in_batch() const
    {
        return m_workload.kinds.at(m_kind).priority == service_class::bulk && m_scenario == scenario::day;
    }

    void schedule_next()
    {
        const double gap_s = -std::log(1 - m_random.uniform()) / (m_rate * max_demand);
        m_clock.after(timestamp{static_cast<std::int64_t>(gap_s * 1e6)}, [this] {
            if (m_clock.now() >= arrivals_end(m_scenario)) {
                return;
            }
            const bool in_batch_window =
                arrives_in_batch() && m_clock.now() >= bulk_batch_start && m_clock.now() < bulk_batch_end;
            const auto c = m_workload.kinds.at(m_kind).priority;
            const double sample = m_random.uniform() * max_demand;
            const double regular_demand = demand(m_scenario, c, m_clock.now());
            if (sample < regular_demand && !in_batch_window) {
                start_regular_program();
            }
            else if (sample >= regular_demand && sample < regular_demand + heavy_demand(m_scenario, c, m_clock.now())) {
                m_callers.start_program(draw_program(), heavy_account);
            }
            schedule_next();
        });
    }

    program_spec draw_program()
    {
        auto spec = make_program(m_workload, m_kind, m_random);
        if (models_swapped(m_scenario, m_clock.now())) {
            swap_models(spec);
        }
        return spec;
    }

    void swap_models(program_spec& spec) const
    {
        for (auto& call : spec.calls) {
            call.model = call.model == m_workload.first_model ? m_workload.second_model : m_workload.first_model;
        }
        std::ranges::for_each(spec.sub_agents, [this](program_spec& agent) { swap_models(agent); });
    }

    /// Starts a program of a random account. The demand of accounts is skewed: the first accounts start several times
    /// as many programs as the last ones.
    void start_regular_program()
    {
        const double u = m_random.uniform();
        const auto account = 1 + static_cast<std::uint32_t>(u * u * (m_workload.accounts - 1));
        m_callers.start_program(draw_program(), account);
    }

    virtual_clock& m_clock;
    const workload& m_workload;
    scenario m_scenario;
    std::size_t m_kind;
    double m_rate;
    random_source m_random;
    simulated_callers& m_callers;
};

} // namespace

run_figures run_policy(const workload& w, scenario s, const policy_row& policy, std::uint64_t seed,
                       const order_settings* orders, order_log* recorded_orders)
{
    virtual_clock clock;
    run_recorder recorder(w, s);
    simulated_callers* callers_ptr = nullptr;
    fleet engines(
        clock, w, s, seed, [&](engine_event event, std::uint64_t call) { callers_ptr->on_engine_event(event, call); },
        [&](const outgoing_slot_message& m) { callers_ptr->on_dispatcher_message(m); });
    simulated_callers programs(clock, w, engines, recorder);
    callers_ptr = &programs;
    engines.start(policy, programs);
    if (orders != nullptr) {
        engines.start_order_planner(*orders);
    }
    programs.start_reports();

    const auto& rates = w.normal_rates;
    std::deque<arrivals> arrival_processes;
    for (std::size_t kind = 0; kind < w.kinds.size(); ++kind) {
        arrival_processes.emplace_back(clock, w, s, kind, rates[kind], seed * 1000 + kind, programs).start();
    }
    clock.run_until(run_end, [&] { return clock.now() >= arrivals_end(s) && programs.active() == 0; });
    programs.end_run();
    if (recorded_orders != nullptr) {
        *recorded_orders = {engines.model_loads(), engines.max_concurrent_loads()};
    }
    const auto totals = engines.counters();
    return recorder.figures(engines.token_gaps(), static_cast<double>(totals.preempted),
                            static_cast<double>(totals.granted));
}

} // namespace lagoonferry::bench
