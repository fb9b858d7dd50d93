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
constexpr timestamp bulk_batch_start = seconds(60); // the weekly drafts of two minutes are requested at once
constexpr timestamp bulk_batch_end = seconds(180);

/// Arrivals of one kind of program: a Poisson process whose rate follows the demand. Each kind has its own random
/// sequence, so every policy sees the same programs at the same times.
class arrivals {
public:
    arrivals(virtual_clock& clock, const workload& w, scenario s, std::size_t kind, double rate, std::uint64_t seed,
             simulated_callers& to)
        : m_clock(clock), m_workload(w), m_scenario(s), m_kind(kind), m_rate(rate), m_random(seed), m_callers(to)
    {
    }

    void start()
    {
        if (in_batches()) {
            const double batch = m_rate * static_cast<double>((bulk_batch_end - bulk_batch_start).count()) / 1e6;
            m_clock.at(bulk_batch_start, [this, batch] {
                for (int n = 0; n < std::lround(batch); ++n) {
                    add();
                }
            });
        }
        next();
    }

private:
    bool in_batches() const
    {
        return m_workload.kinds.at(m_kind).priority == service_class::bulk && m_scenario == scenario::day;
    }

    void next()
    {
        const double gap_s = -std::log(1 - m_random.uniform()) / (m_rate * max_demand);
        m_clock.after(timestamp{static_cast<std::int64_t>(gap_s * 1e6)}, [this] {
            if (m_clock.now() >= arrivals_end(m_scenario)) {
                return;
            }
            const bool batched = in_batches() && m_clock.now() >= bulk_batch_start && m_clock.now() < bulk_batch_end;
            const auto c = m_workload.kinds.at(m_kind).priority;
            const double level = m_random.uniform() * max_demand;
            const double others = demand(m_scenario, c, m_clock.now());
            if (level < others && !batched) {
                add();
            }
            else if (level >= others && level < others + heavy_demand(m_scenario, c, m_clock.now())) {
                m_callers.start_program(make(), heavy_account);
            }
            next();
        });
    }

    program_spec make()
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

    /// Accounts differ in demand: the first ones ask for several times more than the last ones.
    void add()
    {
        const double u = m_random.uniform();
        const auto account = 1 + static_cast<std::uint32_t>(u * u * (m_workload.accounts - 1));
        m_callers.start_program(make(), account);
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
    simulated_callers* to_callers = nullptr;
    fleet engines(
        clock, w, s, seed, [&](engine_event event, std::uint64_t call) { to_callers->on_engine_event(event, call); },
        [&](const outgoing_slot_message& m) { to_callers->on_dispatcher_message(m); });
    simulated_callers programs(clock, w, engines, recorder);
    to_callers = &programs;
    engines.start(policy, programs);
    if (orders != nullptr) {
        engines.start_order_planner(*orders);
    }
    programs.start_reports();

    const auto& rates = w.normal_rates;
    std::deque<arrivals> sources;
    for (std::size_t kind = 0; kind < w.kinds.size(); ++kind) {
        sources.emplace_back(clock, w, s, kind, rates[kind], seed * 1000 + kind, programs).start();
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
