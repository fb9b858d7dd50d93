#include "recovery_simulation.h"

#include "dispatch/make_dispatcher.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <ranges>
#include <utility>

namespace lagoonferry::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr timestamp tick_interval = milliseconds(50);
constexpr timestamp rate_step = milliseconds(250);
constexpr timestamp return_step = milliseconds(100);
constexpr timestamp same_domain_latency{150};
constexpr timestamp token_time = milliseconds(28);
constexpr timestamp failure_detection_timeout = seconds(6); // until a silent dispatcher is presumed dead
constexpr timestamp detection_jitter = milliseconds(500);
constexpr timestamp instance_list_lag = seconds(3);      // until lost targets are removed from the target list
constexpr timestamp target_failure_timeout = seconds(1); // until a holder treats a silent target as failed
constexpr timestamp restart_time = seconds(2);
constexpr timestamp caller_retry_delay = milliseconds(500); // mean time until callers of a lost holder retry
constexpr double datagram_loss = 0.001;
constexpr double demand = 1.2; // as a multiple of the capacity of all targets
constexpr double min_output = 50;
constexpr double max_output = 600;
constexpr per_class<double> class_shares{0.02, 0.18, 0.5, 0.3};
constexpr per_class<timestamp> deadlines{seconds(30), seconds(60), seconds(180), seconds(0)};

double to_s(timestamp t)
{
    return std::chrono::duration<double>(t).count();
}

double mean_output()
{
    return (max_output - min_output) / std::log(max_output / min_output);
}

} // namespace

recovery_simulation::recovery_simulation(const recovery_size& size, std::uint64_t seed)
    : m_seed(seed), m_random(seed), m_size(size)
{
    add_targets(size);
    add_instances(size);
    double slots = 0;
    std::ranges::for_each(m_targets, [&](const target& t) { slots += t.info.slots; });
    m_calls_per_s = demand * slots / (mean_output() * to_s(token_time));
}

void recovery_simulation::add_targets(const recovery_size& size)
{
    for (const auto& model : size.models) {
        for (std::uint32_t n = 0; n < model.engines; ++n) {
            const std::uint32_t domain = n % size.failure_domains;
            target added;
            added.info = {model.name + "-" + std::to_string(n), model.name, "fd-" + std::to_string(domain)};
            added.domain = domain;
            m_target_index[added.info.id] = m_targets.size();
            m_targets.push_back(std::move(added));
        }
    }
}

void recovery_simulation::add_instances(const recovery_size& size)
{
    std::vector<std::string> dispatchers;
    for (std::size_t n = 0; n < size.instances; ++n) {
        instance added;
        added.holder_id = "entry-" + std::to_string(n);
        added.dispatcher_id = "dispatch-" + std::to_string(n);
        added.domain = static_cast<std::uint32_t>(n) % size.failure_domains;
        added.holder = std::make_unique<slot_holder>(added.holder_id, added.incarnation << 32U);
        added.retries = std::make_unique<retry_policy>(retry_settings{}, m_seed + n);
        added.presumed_alive.assign(size.instances, true);
        m_holder_index[added.holder_id] = n;
        m_dispatcher_index[added.dispatcher_id] = n;
        dispatchers.push_back(added.dispatcher_id);
        m_listed_holders.push_back(added.holder_id);
        m_instances.push_back(std::move(added));
    }
    m_disconnected_holders.assign(size.instances, false);
    std::vector<target_info> infos;
    std::ranges::transform(m_targets, std::back_inserter(infos), &target::info);
    m_group_map = std::make_shared<const group_map>(infos, dispatchers);
    for (const auto& group : m_group_map->groups()) {
        for (const auto& id : m_group_map->dispatchers_of(group.id)) {
            m_dispatchers_by_group[group.id].push_back(m_dispatcher_index.at(id));
        }
    }
}

std::unique_ptr<slot_holder> recovery_simulation::make_holder(std::size_t n) const
{
    const auto& inst = m_instances[n];
    return std::make_unique<slot_holder>(inst.holder_id, inst.incarnation << 32U);
}

void recovery_simulation::start()
{
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        const timestamp offset{static_cast<std::int64_t>(m_random.below(tick_interval.count()))};
        m_clock.at(offset, [this, n] { tick_holder(n); });
        m_clock.at(offset, [this, n] { tick_dispatcher(n); });
    }
    add_arrival();
    sample_rates();
}

void recovery_simulation::run_until(timestamp end)
{
    m_clock.run_until(end, [] { return false; });
}

std::size_t recovery_simulation::busiest_dispatcher() const
{
    const auto largest_group =
        std::ranges::max_element(m_group_map->groups(), {}, [](const target_group& g) { return g.targets.size(); });
    return m_dispatchers_by_group.at(largest_group->id).front();
}

// Callers

void recovery_simulation::add_arrival()
{
    call item;
    double draw = m_random.uniform();
    for (std::size_t n = 0; n < class_count; ++n) {
        if (draw < class_shares.at(n)) {
            item.priority = static_cast<service_class>(n);
            break;
        }
        draw -= class_shares.at(n);
    }
    // The demand for a model is proportional to the number of its targets.
    const auto& sampled_model = m_targets[m_random.below(m_targets.size())].info.model;
    item.model = static_cast<std::size_t>(std::ranges::find(m_size.models, sampled_model, &recovery_model::name) -
                                          m_size.models.begin());
    item.output = static_cast<std::uint32_t>(min_output * std::pow(max_output / min_output, m_random.uniform()));
    item.prefix = m_random.next();
    item.waiting_since = m_clock.now();
    m_calls.push_back(std::move(item));
    acquire_slot(m_calls.size() - 1);
    const double gap_s = -std::log(1 - m_random.uniform()) / m_calls_per_s;
    m_clock.after(timestamp(static_cast<std::int64_t>(gap_s * 1e6) + 1), [this] { add_arrival(); });
}

void recovery_simulation::acquire_slot(std::size_t call_index)
{
    auto& item = m_calls[call_index];
    std::vector<std::size_t> live_instances;
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        if (m_instances[n].holder_up) {
            live_instances.push_back(n);
        }
    }
    const auto groups = m_group_map->groups_of(m_size.models[item.model].name, item.prefix);
    if (live_instances.empty() || groups.empty()) {
        schedule_acquire(call_index, seconds(1));
        return;
    }
    item.holder = live_instances[m_random.below(live_instances.size())];
    item.group = groups.front();
    item.waiting = true;
    slot_acquire message;
    message.model = m_size.models[item.model].name;
    message.account = "account-" + std::to_string(call_index % 40);
    message.priority = item.priority;
    message.prompt_tokens = 1000;
    message.expected_output = item.output;
    message.prefix = item.prefix;
    message.deadline = std::chrono::duration_cast<milliseconds>(deadlines.at(index_of(item.priority)));
    message.excluded = item.excluded;
    auto& holder = m_instances[item.holder];
    if (++item.attempts == 1) {
        holder.retries->on_first_attempt();
    }
    holder.calls[holder.holder->acquire(item.group, message, m_clock.now())] = call_index;
    update_dispatchers(item.holder);
    send_due_messages(item.holder);
}

void recovery_simulation::schedule_acquire(std::size_t call_index, timestamp delay)
{
    const bool refused = m_calls[call_index].waiting;
    m_calls[call_index].waiting = false;
    m_clock.after(delay, [this, call_index, refused] {
        const auto since = m_clock.now() - fault_time;
        if (refused && since.count() >= 0) {
            const auto step = static_cast<std::size_t>(since / return_step);
            m_returning_callers.resize(std::max(m_returning_callers.size(), step + 1));
            ++m_returning_callers[step];
        }
        acquire_slot(call_index);
    });
}

void recovery_simulation::on_slot_event(std::size_t holder, const slot_event& event)
{
    auto& inst = m_instances[holder];
    const auto it = inst.calls.find(event.request);
    if (it == inst.calls.end()) {
        return;
    }
    const std::size_t call_index = it->second;
    auto& item = m_calls[call_index];
    switch (event.what) {
    case slot_event::kind::granted:
        start_call(call_index, event);
        break;
    case slot_event::kind::refused: {
        inst.calls.erase(it);
        const bool after_fault = m_clock.now() >= fault_time;
        m_figures.refused += after_fault ? 1 : 0;
        m_figures.without_retry += after_fault && event.refuse.retry_after.count() <= 0 ? 1 : 0;
        const attempt_state state{true, item.attempts, timestamp{0}, timestamp(event.refuse.retry_after), true};
        schedule_acquire(call_index, inst.retries->next_attempt(state, m_clock.now()).value_or(seconds(1)));
        break;
    }
    case slot_event::kind::preempted: {
        slot_observation observation;
        observation.preempted = true;
        observation.tokens = generated(item);
        inst.holder->release(event.request, observation, m_clock.now());
        inst.calls.erase(it);
        item.output -= std::min(item.output - 1, observation.tokens);
        release_target(item);
        item.waiting_since = m_clock.now();
        acquire_slot(call_index);
        break;
    }
    }
}

void recovery_simulation::start_call(std::size_t call_index, const slot_event& event)
{
    auto& item = m_calls[call_index];
    const timestamp now = m_clock.now();
    const std::size_t index = m_target_index.at(event.slot.target);
    auto& assigned = m_targets[index];
    const double waited = to_s(now - item.waiting_since);
    const bool after_fault = now >= fault_time;
    if (item.priority == service_class::safety && (after_fault || now > fault_time / 2)) {
        auto& max_wait = after_fault ? m_figures.urgent_wait_s : m_figures.urgent_before_s;
        max_wait = std::max(max_wait, waited);
    }
    item.waiting = false;
    item.target = index;
    item.started = now;
    ++assigned.held;
    ++m_held_slots[item.group];
    assigned.max_held = after_fault ? std::max(assigned.max_held, assigned.held) : 0;
    const std::uint64_t run_number = ++item.run_number;
    if (!assigned.alive) {
        m_clock.after(target_failure_timeout, [this, call_index, run_number] { fail_call(call_index, run_number); });
        return;
    }
    ++m_running_calls;
    ++m_started_calls;
    m_clock.after(token_time * item.output, [this, call_index, run_number] { finish_call(call_index, run_number); });
}

void recovery_simulation::release_target(call& item)
{
    if (!item.target) {
        return;
    }
    auto& assigned = m_targets[*item.target];
    --assigned.held;
    --m_held_slots[item.group];
    m_running_calls -= assigned.alive ? 1 : 0;
    item.target.reset();
    ++item.run_number;
}

std::uint32_t recovery_simulation::generated(const call& item) const
{
    return static_cast<std::uint32_t>((m_clock.now() - item.started) / token_time);
}

void recovery_simulation::finish_call(std::size_t call_index, std::uint64_t run_number)
{
    auto& item = m_calls[call_index];
    if (item.run_number != run_number || !item.target) {
        return;
    }
    auto& inst = m_instances[item.holder];
    const auto it = std::ranges::find(inst.calls, call_index, [](const auto& entry) { return entry.second; });
    const auto us = static_cast<std::uint32_t>(token_time.count());
    inst.holder->release(it->first, {us, us, item.output, 0, false, false}, m_clock.now());
    inst.calls.erase(it);
    release_target(item);
    send_due_messages(item.holder);
}

void recovery_simulation::fail_call(std::size_t call_index, std::uint64_t run_number)
{
    auto& item = m_calls[call_index];
    if (item.run_number != run_number || !item.target) {
        return;
    }
    ++m_figures.calls_failed;
    auto& inst = m_instances[item.holder];
    const auto it = std::ranges::find(inst.calls, call_index, [](const auto& entry) { return entry.second; });
    slot_observation observation;
    observation.failed = true;
    inst.holder->release(it->first, observation, m_clock.now());
    inst.calls.erase(it);
    item.excluded.push_back(m_targets[*item.target].info.id);
    release_target(item);
    send_due_messages(item.holder);
    acquire_slot(call_index);
}

void recovery_simulation::fail_holder_calls(std::size_t holder)
{
    auto& inst = m_instances[holder];
    for (const auto& [request, call_index] : inst.calls) {
        auto& item = m_calls[call_index];
        if (item.target) {
            ++m_figures.calls_failed;
            m_figures.tokens_lost += m_targets[*item.target].alive ? generated(item) : 0;
            release_target(item);
        }
        item.waiting = false;
        item.waiting_since = m_clock.now();
        const double jitter = 0.5 + m_random.uniform();
        schedule_acquire(
            call_index, timestamp(static_cast<std::int64_t>(static_cast<double>(caller_retry_delay.count()) * jitter)));
    }
    inst.calls.clear();
}

// Protocol

void recovery_simulation::tick_holder(std::size_t n)
{
    if (m_instances[n].holder_up) {
        update_dispatchers(n);
        send_due_messages(n);
    }
    m_clock.after(tick_interval, [this, n] { tick_holder(n); });
}

void recovery_simulation::tick_dispatcher(std::size_t n)
{
    auto& inst = m_instances[n];
    if (inst.dispatcher_up && !paused(n)) {
        for (auto& [group, dispatcher] : inst.groups) {
            dispatcher.set_holders(m_listed_holders);
            for (const auto& message : dispatcher.tick(m_clock.now())) {
                send_to_holder(n, group, message);
            }
        }
    }
    m_clock.after(tick_interval, [this, n] { tick_dispatcher(n); });
}

void recovery_simulation::update_dispatchers(std::size_t n)
{
    auto& inst = m_instances[n];
    if (!std::exchange(inst.dispatchers_changed, false)) {
        return;
    }
    for (const auto& group : m_group_map->groups()) {
        std::vector<std::string> live;
        for (const std::size_t d : m_dispatchers_by_group.at(group.id)) {
            if (inst.presumed_alive[d]) {
                live.push_back(m_instances[d].dispatcher_id);
            }
        }
        inst.holder->set_dispatchers(group.id, std::move(live));
    }
}

void recovery_simulation::send_due_messages(std::size_t n)
{
    auto& inst = m_instances[n];
    for (const auto& item : inst.holder->due(m_clock.now())) {
        if (!item.to.empty()) {
            send_to_dispatcher(n, m_dispatcher_index.at(item.to), item.group, item.message);
        }
    }
}

bool recovery_simulation::is_datagram_lost(std::size_t holder, std::size_t dispatcher)
{
    return (m_disconnected_holders[holder] && m_disconnected_dispatcher == dispatcher) ||
           m_random.uniform() < datagram_loss;
}

void recovery_simulation::send_to_dispatcher(std::size_t holder, std::size_t dispatcher, const std::string& group,
                                             const slot_message& message)
{
    if (is_datagram_lost(holder, dispatcher)) {
        return;
    }
    const auto latency = delay(m_instances[holder].domain, m_instances[dispatcher].domain);
    m_clock.after(latency, [this, dispatcher, group, message] {
        auto& inst = m_instances[dispatcher];
        const auto handle = [this, dispatcher, group, message] {
            for (const auto& answer : dispatcher_of(dispatcher, group).handle(message, m_clock.now())) {
                send_to_holder(dispatcher, group, answer);
            }
        };
        if (inst.dispatcher_up && paused(dispatcher)) {
            inst.deferred.emplace_back(handle);
        }
        else if (inst.dispatcher_up) {
            handle();
        }
    });
}

void recovery_simulation::send_to_holder(std::size_t dispatcher, const std::string& group,
                                         const outgoing_slot_message& message)
{
    const std::size_t holder = m_holder_index.at(message.to);
    if (is_datagram_lost(holder, dispatcher)) {
        return;
    }
    const auto latency = delay(m_instances[holder].domain, m_instances[dispatcher].domain);
    m_clock.after(latency, [this, dispatcher, holder, group, message = message.message] {
        auto& inst = m_instances[holder];
        if (!inst.holder_up) {
            return;
        }
        const auto event = inst.holder->handle(group, m_instances[dispatcher].dispatcher_id, message, m_clock.now());
        if (event) {
            on_slot_event(holder, *event);
        }
        send_due_messages(holder);
    });
}

slot_dispatcher& recovery_simulation::dispatcher_of(std::size_t n, const std::string& group)
{
    auto& inst = m_instances[n];
    const auto it = inst.groups.find(group);
    if (it != inst.groups.end()) {
        return it->second;
    }
    const std::uint64_t epoch = (inst.incarnation << 10U) + n + 1;
    auto& added =
        inst.groups.emplace(group, make_dispatcher({}, epoch, m_seed + n * 7919, m_clock.now())).first->second;
    added.set_holders(m_listed_holders);
    for (const auto& item : m_group_map->groups()) {
        if (item.id == group) {
            std::ranges::for_each(item.targets, [&](const std::string& id) {
                added.set_target(m_targets[m_target_index.at(id)].info, m_clock.now());
            });
        }
    }
    return added;
}

timestamp recovery_simulation::delay(std::uint32_t a, std::uint32_t b) const
{
    return a == b ? same_domain_latency : same_domain_latency + m_size.domain_latency;
}

// Faults

/// Makes every instance update its view of whether a dispatcher is alive, after `after` and a random part of a
/// heartbeat interval. An instance skips the update if the view no longer matches the state of the dispatcher by then.
void recovery_simulation::schedule_detection(std::size_t dispatcher, bool alive, timestamp after)
{
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        const timestamp jitter{static_cast<std::int64_t>(m_random.below(detection_jitter.count()))};
        m_clock.after(after + jitter, [this, n, dispatcher, alive] {
            const auto& observed = m_instances[dispatcher];
            const bool reachable = observed.dispatcher_up && !paused(dispatcher) &&
                                   !(m_disconnected_holders[n] && m_disconnected_dispatcher == dispatcher);
            if (reachable == alive) {
                m_instances[n].presumed_alive[dispatcher] = alive;
                m_instances[n].dispatchers_changed = true;
            }
        });
    }
}

void recovery_simulation::kill_dispatcher(std::size_t instance)
{
    auto& inst = m_instances[instance];
    inst.dispatcher_up = false;
    inst.groups.clear();
    inst.deferred.clear();
    schedule_detection(instance, false, failure_detection_timeout);
}

void recovery_simulation::pause_dispatcher(std::size_t instance, timestamp length)
{
    m_instances[instance].paused_until = m_clock.now() + length;
    schedule_detection(instance, false, failure_detection_timeout);
    m_clock.after(length, [this, instance] {
        const auto waiting = std::exchange(m_instances[instance].deferred, {});
        std::ranges::for_each(waiting, [](const auto& handle) { handle(); });
        schedule_detection(instance, true, timestamp{0});
    });
}

void recovery_simulation::disconnect_dispatcher(std::size_t instance, timestamp length)
{
    m_disconnected_dispatcher = instance;
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        m_disconnected_holders[n] = n % 2 == 1 && n != instance;
    }
    schedule_detection(instance, false, failure_detection_timeout);
    m_clock.after(length, [this, instance] {
        m_disconnected_dispatcher.reset();
        schedule_detection(instance, true, timestamp{0});
    });
}

void recovery_simulation::restart_all(timestamp span)
{
    std::vector<std::size_t> order(m_instances.size());
    std::iota(order.begin(), order.end(), 0);
    for (std::size_t n = order.size(); n > 1; --n) {
        std::swap(order[n - 1], order[m_random.below(n)]);
    }
    for (std::size_t n = 0; n < order.size(); ++n) {
        const auto last = static_cast<std::int64_t>(order.size() - 1);
        const auto when = (span - restart_time) * static_cast<std::int64_t>(n) / last;
        m_clock.after(when, [this, instance = order[n]] { restart(instance); });
    }
}

void recovery_simulation::restart(std::size_t n)
{
    auto& inst = m_instances[n];
    inst.holder_up = false;
    inst.dispatcher_up = false;
    inst.groups.clear();
    fail_holder_calls(n);
    m_clock.after(restart_time, [this, n] {
        auto& restarted = m_instances[n];
        ++restarted.incarnation;
        restarted.holder = make_holder(n);
        restarted.dispatchers_changed = true;
        restarted.holder_up = true;
        restarted.dispatcher_up = true;
    });
}

void recovery_simulation::lose_domain(std::uint32_t domain)
{
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        auto& inst = m_instances[n];
        if (inst.domain == domain) {
            inst.holder_up = false;
            fail_holder_calls(n);
            kill_dispatcher(n);
            m_clock.after(failure_detection_timeout, [this, id = inst.holder_id] { std::erase(m_listed_holders, id); });
        }
    }
    double before = 0;
    double left = 0;
    for (auto& t : m_targets) {
        before += t.info.slots;
        left += t.domain == domain ? 0 : t.info.slots;
        t.alive = t.domain != domain;
    }
    m_remaining_capacity = left / before;
    for (std::size_t call_index = 0; call_index < m_calls.size(); ++call_index) {
        auto& item = m_calls[call_index];
        if (item.target && !m_targets[*item.target].alive) {
            --m_running_calls;
            m_figures.tokens_lost += generated(item);
            item.waiting_since = m_clock.now();
            m_clock.after(target_failure_timeout,
                          [this, call_index, run_number = item.run_number] { fail_call(call_index, run_number); });
        }
    }
    m_clock.after(instance_list_lag, [this] { remove_lost_targets(); });
}

void recovery_simulation::remove_lost_targets()
{
    std::vector<target_info> infos;
    for (auto& t : m_targets) {
        t.info.state = t.alive ? target_state::live : target_state::gone;
        infos.push_back(t.info);
    }
    std::vector<std::string> dispatchers;
    std::ranges::transform(m_instances, std::back_inserter(dispatchers), &instance::dispatcher_id);
    m_group_map = std::make_shared<const group_map>(infos, dispatchers);
    for (const auto& group : m_group_map->groups()) {
        auto& order = m_dispatchers_by_group[group.id];
        order.clear();
        for (const auto& id : m_group_map->dispatchers_of(group.id)) {
            order.push_back(m_dispatcher_index.at(id));
        }
    }
    for (auto& inst : m_instances) {
        inst.dispatchers_changed = true;
        for (auto& [group, dispatcher] : inst.groups) {
            for (const auto& known : std::vector(dispatcher.targets())) {
                dispatcher.set_target(m_targets[m_target_index.at(known.info.id)].info, m_clock.now());
            }
        }
    }
}

// Figures

void recovery_simulation::sample_rates()
{
    m_figures.rate.push_back(static_cast<double>(m_running_calls) / to_s(token_time));
    m_figures.started.push_back(static_cast<double>(m_started_calls) / to_s(rate_step));
    m_started_calls = 0;
    if (m_clock.now() > fault_time && !m_slots_known_at && all_slots_known()) {
        m_slots_known_at = m_clock.now();
    }
    m_clock.after(rate_step, [this] { sample_rates(); });
}

/// Returns whether, for each group, a running dispatcher lists at least as many slots as the holders hold.
bool recovery_simulation::all_slots_known() const
{
    return std::ranges::all_of(m_held_slots, [&](const auto& entry) {
        const auto it = m_dispatchers_by_group.find(entry.first);
        for (const std::size_t d : it->second) {
            const auto& inst = m_instances[d];
            const auto group = inst.groups.find(entry.first);
            if (!inst.dispatcher_up || paused(d) || group == inst.groups.end()) {
                continue;
            }
            if (group->second.counters().slots >= entry.second) {
                return true;
            }
        }
        return false;
    });
}

double recovery_simulation::recovery_time_s(timestamp from, double remaining_capacity) const
{
    constexpr std::size_t before_steps = 40; // 10 s before the fault
    constexpr std::size_t mean_steps = 20;   // 5 s, since a small fleet varies by a few percent between two steps
    constexpr double recovered_share = 0.9;
    const auto mean = [&](std::size_t first, std::size_t steps) {
        const auto begin = m_figures.rate.begin() + static_cast<std::ptrdiff_t>(first);
        return std::accumulate(begin, begin + static_cast<std::ptrdiff_t>(steps), 0.0) / static_cast<double>(steps);
    };
    const double before = mean(static_cast<std::size_t>(fault_time / rate_step) - before_steps, before_steps);
    const auto first = static_cast<std::size_t>(from / rate_step);
    // The rate has recovered after the last window whose mean is below the threshold, so that a rate that drops again
    // does not count as recovered.
    std::size_t recovered_step = first;
    std::size_t n = first;
    for (; n + mean_steps <= m_figures.rate.size(); ++n) {
        recovered_step = mean(n, mean_steps) < recovered_share * before * remaining_capacity ? n + 1 : recovered_step;
    }
    if (recovered_step == n) {
        return std::numeric_limits<double>::infinity();
    }
    return static_cast<double>(recovered_step) * rate_step_s - to_s(from);
}

recovery_figures recovery_simulation::figures(recovery_fault fault) const
{
    auto result = m_figures;
    result.known_s = m_slots_known_at ? to_s(*m_slots_known_at - fault_time) : std::numeric_limits<double>::infinity();
    for (const auto& t : m_targets) {
        result.largest_share = std::max(result.largest_share, static_cast<double>(t.max_held) / t.info.slots);
    }
    // For a call that still waits, the wait so far is a lower bound.
    for (const auto& item : m_calls) {
        if (item.priority == service_class::safety && item.started < item.waiting_since && item.run_number == 0) {
            result.urgent_wait_s = std::max(result.urgent_wait_s, to_s(m_clock.now() - item.waiting_since));
        }
    }
    const timestamp from = fault == recovery_fault::mass_restart ? fault_end_time(fault) : fault_time;
    result.back_s = recovery_time_s(from, m_remaining_capacity);
    const auto fault_step = static_cast<std::size_t>(fault_time / rate_step);
    const auto before = result.rate.at(fault_step - 1);
    const auto lowest =
        std::ranges::min_element(result.rate.begin() + static_cast<std::ptrdiff_t>(fault_step), result.rate.end());
    result.lowest_rate = *lowest / before;
    constexpr std::size_t steps_per_s = 10;
    constexpr std::uint32_t min_returning_callers = 50;
    for (std::size_t n = 0; n < m_returning_callers.size(); ++n) {
        // Compares the step with the busiest second that contains it. Otherwise the first step of a wave of retries
        // would count as a peak.
        std::uint32_t max_per_second = 0;
        for (std::size_t first = n - std::min(n, steps_per_s - 1); first <= n; ++first) {
            const auto window = std::span(m_returning_callers)
                                    .subspan(first, std::min(steps_per_s, m_returning_callers.size() - first));
            max_per_second = std::max(max_per_second, std::accumulate(window.begin(), window.end(), 0U));
        }
        if (max_per_second >= min_returning_callers) {
            result.return_peak =
                std::max(result.return_peak, m_returning_callers[n] / static_cast<double>(max_per_second));
        }
    }
    return result;
}

} // namespace lagoonferry::bench
