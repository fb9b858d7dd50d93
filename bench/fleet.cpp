#include "fleet.h"

#include <algorithm>
#include <cmath>

namespace lagoonferry::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr timestamp tick_interval = milliseconds(50);
constexpr timestamp report_interval = seconds(1);
constexpr timestamp same_domain_latency{150};
constexpr double cache_event_loss = 0.1;
constexpr timestamp cache_event_delay = seconds(1);
constexpr timestamp order_interval = seconds(1);
constexpr timestamp model_load_time = seconds(30); // time per load while as many loads run as the planner allows
const std::string dispatcher_domain = "fd-1";

} // namespace

fleet::fleet(virtual_clock& clock, const workload& w, scenario s, std::uint64_t seed,
             const fake_engine::listener& on_event, deliver_callback deliver)
    : m_clock(clock), m_workload(w), m_scenario(s), m_seed(seed), m_random(seed ^ 0x5eed), m_deliver(std::move(deliver))
{
    for (const auto& spec : w.engines) {
        const auto index = m_engines.size();
        m_index[spec.id] = index;
        auto& engine = m_engines.emplace_back(clock, spec, on_event);
        engine.set_token_gap_histogram(&m_token_gaps);
        engine.on_cache_change = [this, index](std::uint64_t prefix, std::uint32_t tokens) {
            forward_cache_event(index, prefix, tokens);
        };
    }
}

void fleet::start(const policy_row& policy, const ground_truth& truth)
{
    for (const auto& model : {m_workload.first_model, m_workload.second_model}) {
        auto parts = policy.make(truth);
        auto& g =
            m_groups.emplace_back(group{model, slot_dispatcher(parts.settings, std::move(parts.selector),
                                                               std::move(parts.order), 1, m_seed, m_clock.now())});
        for (const auto& e : m_engines) {
            if (e.spec().model == model) {
                g.dispatcher.set_target({e.spec().id, model, e.spec().failure_domain, e.spec().max_batch_size},
                                        m_clock.now());
            }
        }
    }
    tick();
    report_loads();
    update_slowed_engines();
}

void fleet::start_order_planner(const order_settings& settings)
{
    m_planner = std::make_unique<order_planner>(settings, m_seed);
    m_loading.resize(m_engines.size());
    plan_orders();
}

void fleet::plan_orders()
{
    if (m_stopped) {
        return;
    }
    std::vector<model_demand> demand;
    for (auto& g : m_groups) {
        const auto c = g.dispatcher.counters();
        const auto arrivals = static_cast<std::uint32_t>(c.granted - g.last_granted);
        g.last_granted = c.granted;
        demand.push_back(
            {g.model, static_cast<std::uint32_t>(c.slots), static_cast<std::uint32_t>(c.waiting), arrivals});
    }
    std::vector<order_target> targets;
    for (std::size_t n = 0; n < m_engines.size(); ++n) {
        const auto& spec = m_engines[n].spec();
        const auto& known_targets = group_of(spec.model).dispatcher.targets();
        const auto it =
            std::ranges::find_if(known_targets, [&](const target_stats& t) { return t.info.id == spec.id; });
        const auto in_flight = it == known_targets.end() ? 0 : it->in_flight;
        targets.push_back({spec.id, m_loading[n] ? std::string() : spec.model, spec.max_batch_size, in_flight, true});
    }
    for (const auto& order : m_planner->step(demand, targets, m_clock.now())) {
        execute_order(order);
    }
    for (std::size_t n = 0; n < m_engines.size(); ++n) {
        if (!m_loading[n]) {
            publish_target(n, m_planner->usable(m_engines[n].spec().id) ? target_state::live : target_state::leaving);
        }
    }
    m_clock.after(order_interval, [this] { plan_orders(); });
}

void fleet::execute_order(const target_order& order)
{
    const auto index = m_index.at(order.target);
    publish_target(index, target_state::gone);
    m_loading[index] = true;
    m_engines[index].change_model(order.load);
    m_model_loads.push_back({m_clock.now(), order.target});
    m_max_concurrent_loads = std::max(m_max_concurrent_loads, m_planner->loading());
    m_clock.after(model_load_time, [this, index] {
        m_loading[index] = false;
        m_planner->on_order_finished(m_engines[index].spec().id, true, m_clock.now());
        publish_target(index, target_state::live);
    });
}

void fleet::publish_target(std::size_t engine, target_state state)
{
    const auto& spec = m_engines.at(engine).spec();
    group_of(spec.model)
        .dispatcher.set_target({spec.id, spec.model, spec.failure_domain, spec.max_batch_size, state}, m_clock.now());
}

void fleet::send(const std::string& model, std::uint32_t entry, slot_message message)
{
    const auto delay = delay_between(domain_of(entry), dispatcher_domain);
    m_clock.after(delay, [this, &g = group_of(model), message = std::move(message)] {
        send_to_entries(g.dispatcher.handle(message, m_clock.now()));
    });
}

timestamp fleet::delay(std::uint32_t entry, const fake_engine& engine) const
{
    return delay_between(domain_of(entry), engine.spec().failure_domain);
}

dispatch_counters fleet::counters() const
{
    dispatch_counters sum;
    for (const auto& g : m_groups) {
        const auto c = g.dispatcher.counters();
        sum.granted += c.granted;
        sum.preempted += c.preempted;
    }
    return sum;
}

void fleet::tick()
{
    if (m_stopped) {
        return;
    }
    for (auto& g : m_groups) {
        send_to_entries(g.dispatcher.tick(m_clock.now()));
    }
    m_clock.after(tick_interval, [this] { tick(); });
}

void fleet::report_loads()
{
    if (m_stopped) {
        return;
    }
    for (const auto& e : m_engines) {
        load_report report{e.spec().id, e.running(), e.waiting(), {}};
        m_clock.after(m_workload.load_report_lag, [&g = group_of(e.spec().model), report = std::move(report)] {
            g.dispatcher.report_load(report);
        });
    }
    m_clock.after(report_interval, [this] { report_loads(); });
}

/// Slows a fifth of the engines of each model, spread evenly over the fleet. If the workload has a rotation interval,
/// each interval slows a different set of engines.
void fleet::update_slowed_engines()
{
    if (m_stopped || m_scenario != scenario::slowed) {
        return;
    }
    const bool slow = is_slowed(m_scenario, m_clock.now());
    for (const auto& g : m_groups) {
        std::vector<fake_engine*> group_engines;
        for (auto& e : m_engines) {
            if (e.spec().model == g.model) {
                group_engines.push_back(&e);
            }
        }
        const auto count =
            static_cast<std::size_t>(std::ceil(slowed_share * static_cast<double>(group_engines.size())));
        for (std::size_t n = 0; n < group_engines.size(); ++n) {
            const auto position = (n * count + m_first_slowed) % group_engines.size();
            const bool slowed_now = slow && position < count;
            const double factor = slowed_now ? slowdown : 1;
            if (group_engines[n]->slowdown() != factor) {
                group_engines[n]->set_slowdown(factor);
            }
        }
    }
    const bool rotates = m_workload.slow_rotation_interval.count() > 0 && slow;
    m_first_slowed += rotates ? 1 : 0;
    m_clock.after(rotates ? m_workload.slow_rotation_interval : seconds(1), [this] { update_slowed_engines(); });
}

void fleet::send_to_entries(std::vector<outgoing_slot_message> messages)
{
    for (auto& m : messages) {
        const auto entry = static_cast<std::uint32_t>(std::stoul(m.to.substr(m.to.find('-') + 1)));
        m_clock.after(delay_between(domain_of(entry), dispatcher_domain), [this, m = std::move(m)] { m_deliver(m); });
    }
}

void fleet::forward_cache_event(std::size_t engine, std::uint64_t prefix, std::uint32_t tokens)
{
    if (m_random.uniform() < cache_event_loss || m_groups.empty()) {
        return;
    }
    const auto& spec = m_engines.at(engine).spec();
    m_clock.after(cache_event_delay, [&g = group_of(spec.model), event = cache_event{spec.id, prefix, tokens}] {
        g.dispatcher.report_cache(event);
    });
}

fleet::group& fleet::group_of(const std::string& model)
{
    return model == m_groups.front().model ? m_groups.front() : m_groups.back();
}

std::string fleet::domain_of(std::uint32_t entry) const
{
    return "fd-" + std::to_string(entry % m_workload.failure_domains + 1);
}

timestamp fleet::delay_between(const std::string& a, const std::string& b) const
{
    return a == b ? same_domain_latency : same_domain_latency + m_workload.domain_latency;
}

} // namespace lagoonferry::bench
