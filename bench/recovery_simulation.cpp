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
constexpr timestamp membership_silence = seconds(6); // until a silent dispatcher is presumed down
constexpr timestamp membership_spread = milliseconds(500);
constexpr timestamp instance_list_lag = seconds(3); // until lost targets are out of the target list
constexpr timestamp loss_noticed = seconds(1);      // until a caller side gives a silent target up
constexpr timestamp restart_time = seconds(2);
constexpr timestamp caller_return = milliseconds(500); // to another instance after the loss of a holder
constexpr double datagram_loss = 0.001;
constexpr double demand = 1.2; // of the capacity of all targets
constexpr double least_output = 50;
constexpr double largest_output = 600;
constexpr per_class<double> class_shares{0.02, 0.18, 0.5, 0.3};
constexpr per_class<timestamp> deadlines{seconds(30), seconds(60), seconds(180), seconds(0)};

double to_s(timestamp t)
{
    return std::chrono::duration<double>(t).count();
}

double mean_output()
{
    return (largest_output - least_output) / std::log(largest_output / least_output);
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
        added.seen.assign(size.instances, true);
        m_holder_index[added.holder_id] = n;
        m_dispatcher_index[added.dispatcher_id] = n;
        dispatchers.push_back(added.dispatcher_id);
        m_listed.push_back(added.holder_id);
        m_instances.push_back(std::move(added));
    }
    m_cut.assign(size.instances, false);
    std::vector<target_info> infos;
    std::ranges::transform(m_targets, std::back_inserter(infos), &target::info);
    m_map = std::make_shared<const group_map>(infos, dispatchers);
    for (const auto& group : m_map->groups()) {
        for (const auto& id : m_map->dispatchers_of(group.id)) {
            m_order[group.id].push_back(m_dispatcher_index.at(id));
        }
    }
}

std::unique_ptr<slot_holder> recovery_simulation::make_holder(std::size_t n) const
{
    const auto& at = m_instances[n];
    return std::make_unique<slot_holder>(at.holder_id, at.incarnation << 32U);
}

void recovery_simulation::start()
{
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        const timestamp offset{static_cast<std::int64_t>(m_random.below(tick_interval.count()))};
        m_clock.at(offset, [this, n] { tick_holder(n); });
        m_clock.at(offset, [this, n] { tick_dispatcher(n); });
    }
    arrive();
    sample();
}

void recovery_simulation::run_until(timestamp end)
{
    m_clock.run_until(end, [] { return false; });
}

std::size_t recovery_simulation::busiest_dispatcher() const
{
    const auto largest =
        std::ranges::max_element(m_map->groups(), {}, [](const target_group& g) { return g.targets.size(); });
    return m_order.at(largest->id).front();
}

// Callers

void recovery_simulation::arrive()
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
    // A model is asked for in proportion to its targets.
    const auto& some = m_targets[m_random.below(m_targets.size())].info.model;
    item.model =
        static_cast<std::size_t>(std::ranges::find(m_size.models, some, &recovery_model::name) - m_size.models.begin());
    item.output =
        static_cast<std::uint32_t>(least_output * std::pow(largest_output / least_output, m_random.uniform()));
    item.prefix = m_random.next();
    item.asked = m_clock.now();
    m_calls.push_back(std::move(item));
    ask(m_calls.size() - 1);
    const double gap_s = -std::log(1 - m_random.uniform()) / m_calls_per_s;
    m_clock.after(timestamp(static_cast<std::int64_t>(gap_s * 1e6) + 1), [this] { arrive(); });
}

void recovery_simulation::ask(std::size_t c)
{
    auto& item = m_calls[c];
    std::vector<std::size_t> up;
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        if (m_instances[n].holder_up) {
            up.push_back(n);
        }
    }
    const auto groups = m_map->groups_of(m_size.models[item.model].name, item.prefix);
    if (up.empty() || groups.empty()) {
        ask_later(c, seconds(1));
        return;
    }
    item.holder = up[m_random.below(up.size())];
    item.group = groups.front();
    item.waiting = true;
    slot_acquire wanted;
    wanted.model = m_size.models[item.model].name;
    wanted.account = "account-" + std::to_string(c % 40);
    wanted.priority = item.priority;
    wanted.prompt_tokens = 1000;
    wanted.expected_output = item.output;
    wanted.prefix = item.prefix;
    wanted.deadline = std::chrono::duration_cast<milliseconds>(deadlines.at(index_of(item.priority)));
    wanted.excluded = item.excluded;
    auto& holder = m_instances[item.holder];
    if (++item.attempts == 1) {
        holder.retries->on_first_attempt();
    }
    holder.calls[holder.holder->acquire(item.group, wanted, m_clock.now())] = c;
    follow(item.holder);
    flush(item.holder);
}

void recovery_simulation::ask_later(std::size_t c, timestamp delay)
{
    const bool refused = m_calls[c].waiting;
    m_calls[c].waiting = false;
    m_clock.after(delay, [this, c, refused] {
        const auto since = m_clock.now() - fault_time;
        if (refused && since.count() >= 0) {
            const auto step = static_cast<std::size_t>(since / return_step);
            m_returns.resize(std::max(m_returns.size(), step + 1));
            ++m_returns[step];
        }
        ask(c);
    });
}

void recovery_simulation::on_event(std::size_t holder, const slot_event& event)
{
    auto& at = m_instances[holder];
    const auto it = at.calls.find(event.request);
    if (it == at.calls.end()) {
        return;
    }
    const std::size_t c = it->second;
    auto& item = m_calls[c];
    switch (event.what) {
    case slot_event::kind::granted:
        begin(c, event);
        break;
    case slot_event::kind::refused: {
        at.calls.erase(it);
        const bool counted = m_clock.now() >= fault_time;
        m_figures.refused += counted ? 1 : 0;
        m_figures.without_retry += counted && event.refuse.retry_after.count() <= 0 ? 1 : 0;
        const attempt_state state{true, item.attempts, timestamp{0}, timestamp(event.refuse.retry_after), true};
        ask_later(c, at.retries->next_attempt(state, m_clock.now()).value_or(seconds(1)));
        break;
    }
    case slot_event::kind::preempted: {
        slot_observation seen;
        seen.preempted = true;
        seen.tokens = generated(item);
        at.holder->release(event.request, seen, m_clock.now());
        at.calls.erase(it);
        item.output -= std::min(item.output - 1, seen.tokens);
        leave_target(item);
        item.asked = m_clock.now();
        ask(c);
        break;
    }
    }
}

void recovery_simulation::begin(std::size_t c, const slot_event& event)
{
    auto& item = m_calls[c];
    const timestamp now = m_clock.now();
    const std::size_t index = m_target_index.at(event.slot.target);
    auto& on = m_targets[index];
    const double waited = to_s(now - item.asked);
    const bool after = now >= fault_time;
    if (item.priority == service_class::safety && (after || now > fault_time / 2)) {
        auto& longest = after ? m_figures.urgent_wait_s : m_figures.urgent_before_s;
        longest = std::max(longest, waited);
    }
    item.waiting = false;
    item.target = index;
    item.started = now;
    ++on.held;
    ++m_held[item.group];
    on.largest = after ? std::max(on.largest, on.held) : 0;
    const std::uint64_t run = ++item.run;
    if (!on.alive) {
        m_clock.after(loss_noticed, [this, c, run] { fail(c, run); });
        return;
    }
    ++m_running;
    ++m_starts;
    m_clock.after(token_time * item.output, [this, c, run] { finish(c, run); });
}

void recovery_simulation::leave_target(call& item)
{
    if (!item.target) {
        return;
    }
    auto& on = m_targets[*item.target];
    --on.held;
    --m_held[item.group];
    m_running -= on.alive ? 1 : 0;
    item.target.reset();
    ++item.run;
}

std::uint32_t recovery_simulation::generated(const call& item) const
{
    return static_cast<std::uint32_t>((m_clock.now() - item.started) / token_time);
}

void recovery_simulation::finish(std::size_t c, std::uint64_t run)
{
    auto& item = m_calls[c];
    if (item.run != run || !item.target) {
        return;
    }
    auto& at = m_instances[item.holder];
    const auto it = std::ranges::find(at.calls, c, [](const auto& entry) { return entry.second; });
    const auto us = static_cast<std::uint32_t>(token_time.count());
    at.holder->release(it->first, {us, us, item.output, 0, false, false}, m_clock.now());
    at.calls.erase(it);
    leave_target(item);
    flush(item.holder);
}

void recovery_simulation::fail(std::size_t c, std::uint64_t run)
{
    auto& item = m_calls[c];
    if (item.run != run || !item.target) {
        return;
    }
    ++m_figures.calls_failed;
    auto& at = m_instances[item.holder];
    const auto it = std::ranges::find(at.calls, c, [](const auto& entry) { return entry.second; });
    slot_observation seen;
    seen.failed = true;
    at.holder->release(it->first, seen, m_clock.now());
    at.calls.erase(it);
    item.excluded.push_back(m_targets[*item.target].info.id);
    leave_target(item);
    flush(item.holder);
    ask(c);
}

void recovery_simulation::lose_holder_calls(std::size_t holder)
{
    auto& at = m_instances[holder];
    for (const auto& [request, c] : at.calls) {
        auto& item = m_calls[c];
        if (item.target) {
            ++m_figures.calls_failed;
            m_figures.tokens_lost += m_targets[*item.target].alive ? generated(item) : 0;
            leave_target(item);
        }
        item.waiting = false;
        item.asked = m_clock.now();
        const double spread = 0.5 + m_random.uniform();
        ask_later(c, timestamp(static_cast<std::int64_t>(static_cast<double>(caller_return.count()) * spread)));
    }
    at.calls.clear();
}

// Protocol

void recovery_simulation::tick_holder(std::size_t n)
{
    if (m_instances[n].holder_up) {
        follow(n);
        flush(n);
    }
    m_clock.after(tick_interval, [this, n] { tick_holder(n); });
}

void recovery_simulation::tick_dispatcher(std::size_t n)
{
    auto& at = m_instances[n];
    if (at.dispatcher_up && !paused(n)) {
        for (auto& [group, dispatcher] : at.groups) {
            dispatcher.set_holders(m_listed);
            for (const auto& message : dispatcher.tick(m_clock.now())) {
                to_holder(n, group, message);
            }
        }
    }
    m_clock.after(tick_interval, [this, n] { tick_dispatcher(n); });
}

void recovery_simulation::follow(std::size_t n)
{
    auto& at = m_instances[n];
    if (!std::exchange(at.follow_due, false)) {
        return;
    }
    for (const auto& group : m_map->groups()) {
        std::vector<std::string> live;
        for (const std::size_t d : m_order.at(group.id)) {
            if (at.seen[d]) {
                live.push_back(m_instances[d].dispatcher_id);
            }
        }
        at.holder->set_dispatchers(group.id, std::move(live));
    }
}

void recovery_simulation::flush(std::size_t n)
{
    auto& at = m_instances[n];
    for (const auto& item : at.holder->due(m_clock.now())) {
        if (!item.to.empty()) {
            to_dispatcher(n, m_dispatcher_index.at(item.to), item.group, item.message);
        }
    }
}

bool recovery_simulation::lost_datagram(std::size_t holder, std::size_t dispatcher)
{
    return (m_cut[holder] && m_cut_from == dispatcher) || m_random.uniform() < datagram_loss;
}

void recovery_simulation::to_dispatcher(std::size_t holder, std::size_t dispatcher, const std::string& group,
                                        const slot_message& message)
{
    if (lost_datagram(holder, dispatcher)) {
        return;
    }
    const auto way = delay(m_instances[holder].domain, m_instances[dispatcher].domain);
    m_clock.after(way, [this, dispatcher, group, message] {
        auto& at = m_instances[dispatcher];
        const auto handle = [this, dispatcher, group, message] {
            for (const auto& answer : dispatcher_of(dispatcher, group).handle(message, m_clock.now())) {
                to_holder(dispatcher, group, answer);
            }
        };
        if (at.dispatcher_up && paused(dispatcher)) {
            at.postponed.emplace_back(handle);
        }
        else if (at.dispatcher_up) {
            handle();
        }
    });
}

void recovery_simulation::to_holder(std::size_t dispatcher, const std::string& group,
                                    const outgoing_slot_message& message)
{
    const std::size_t holder = m_holder_index.at(message.to);
    if (lost_datagram(holder, dispatcher)) {
        return;
    }
    const auto way = delay(m_instances[holder].domain, m_instances[dispatcher].domain);
    m_clock.after(way, [this, dispatcher, holder, group, message = message.message] {
        auto& at = m_instances[holder];
        if (!at.holder_up) {
            return;
        }
        const auto event = at.holder->handle(group, m_instances[dispatcher].dispatcher_id, message, m_clock.now());
        if (event) {
            on_event(holder, *event);
        }
        flush(holder);
    });
}

slot_dispatcher& recovery_simulation::dispatcher_of(std::size_t n, const std::string& group)
{
    auto& at = m_instances[n];
    const auto it = at.groups.find(group);
    if (it != at.groups.end()) {
        return it->second;
    }
    const std::uint64_t epoch = (at.incarnation << 10U) + n + 1;
    auto& added = at.groups.emplace(group, make_dispatcher({}, epoch, m_seed + n * 7919, m_clock.now())).first->second;
    added.set_holders(m_listed);
    for (const auto& item : m_map->groups()) {
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

/// Every instance changes its mind about a dispatcher after `after` and a random part of a heartbeat interval.
void recovery_simulation::notice(std::size_t dispatcher, bool alive, timestamp after)
{
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        const timestamp spread{static_cast<std::int64_t>(m_random.below(membership_spread.count()))};
        m_clock.after(after + spread, [this, n, dispatcher, alive] {
            const auto& about = m_instances[dispatcher];
            const bool reached = about.dispatcher_up && !paused(dispatcher) && !(m_cut[n] && m_cut_from == dispatcher);
            if (reached == alive) {
                m_instances[n].seen[dispatcher] = alive;
                m_instances[n].follow_due = true;
            }
        });
    }
}

void recovery_simulation::kill_dispatcher(std::size_t instance)
{
    auto& at = m_instances[instance];
    at.dispatcher_up = false;
    at.groups.clear();
    at.postponed.clear();
    notice(instance, false, membership_silence);
}

void recovery_simulation::pause_dispatcher(std::size_t instance, timestamp length)
{
    m_instances[instance].paused_until = m_clock.now() + length;
    notice(instance, false, membership_silence);
    m_clock.after(length, [this, instance] {
        const auto waiting = std::exchange(m_instances[instance].postponed, {});
        std::ranges::for_each(waiting, [](const auto& handle) { handle(); });
        notice(instance, true, timestamp{0});
    });
}

void recovery_simulation::disconnect_dispatcher(std::size_t instance, timestamp length)
{
    m_cut_from = instance;
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        m_cut[n] = n % 2 == 1 && n != instance;
    }
    notice(instance, false, membership_silence);
    m_clock.after(length, [this, instance] {
        m_cut_from.reset();
        notice(instance, true, timestamp{0});
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
        m_clock.after(when, [this, who = order[n]] { restart(who); });
    }
}

void recovery_simulation::restart(std::size_t n)
{
    auto& at = m_instances[n];
    at.holder_up = false;
    at.dispatcher_up = false;
    at.groups.clear();
    lose_holder_calls(n);
    m_clock.after(restart_time, [this, n] {
        auto& back = m_instances[n];
        ++back.incarnation;
        back.holder = make_holder(n);
        back.follow_due = true;
        back.holder_up = true;
        back.dispatcher_up = true;
    });
}

void recovery_simulation::lose_domain(std::uint32_t domain)
{
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        auto& at = m_instances[n];
        if (at.domain == domain) {
            at.holder_up = false;
            lose_holder_calls(n);
            kill_dispatcher(n);
            m_clock.after(membership_silence, [this, id = at.holder_id] { std::erase(m_listed, id); });
        }
    }
    double before = 0;
    double left = 0;
    for (auto& t : m_targets) {
        before += t.info.slots;
        left += t.domain == domain ? 0 : t.info.slots;
        t.alive = t.domain != domain;
    }
    m_capacity_left = left / before;
    for (std::size_t c = 0; c < m_calls.size(); ++c) {
        auto& item = m_calls[c];
        if (item.target && !m_targets[*item.target].alive) {
            --m_running;
            m_figures.tokens_lost += generated(item);
            item.asked = m_clock.now();
            m_clock.after(loss_noticed, [this, c, run = item.run] { fail(c, run); });
        }
    }
    m_clock.after(instance_list_lag, [this] { take_out_lost_targets(); });
}

void recovery_simulation::take_out_lost_targets()
{
    std::vector<target_info> infos;
    for (auto& t : m_targets) {
        t.info.state = t.alive ? target_state::live : target_state::gone;
        infos.push_back(t.info);
    }
    std::vector<std::string> dispatchers;
    std::ranges::transform(m_instances, std::back_inserter(dispatchers), &instance::dispatcher_id);
    m_map = std::make_shared<const group_map>(infos, dispatchers);
    for (const auto& group : m_map->groups()) {
        auto& order = m_order[group.id];
        order.clear();
        for (const auto& id : m_map->dispatchers_of(group.id)) {
            order.push_back(m_dispatcher_index.at(id));
        }
    }
    for (auto& at : m_instances) {
        at.follow_due = true;
        for (auto& [group, dispatcher] : at.groups) {
            for (const auto& known : std::vector(dispatcher.targets())) {
                dispatcher.set_target(m_targets[m_target_index.at(known.info.id)].info, m_clock.now());
            }
        }
    }
}

// Figures

void recovery_simulation::sample()
{
    m_figures.rate.push_back(static_cast<double>(m_running) / to_s(token_time));
    m_figures.started.push_back(static_cast<double>(m_starts) / to_s(rate_step));
    m_starts = 0;
    if (m_clock.now() > fault_time && !m_known && all_known()) {
        m_known = m_clock.now();
    }
    m_clock.after(rate_step, [this] { sample(); });
}

/// Whether for each group the dispatcher that most holders follow lists as many slots as the holders hold.
bool recovery_simulation::all_known() const
{
    return std::ranges::all_of(m_held, [&](const auto& entry) {
        const auto it = m_order.find(entry.first);
        for (const std::size_t d : it->second) {
            const auto& at = m_instances[d];
            const auto group = at.groups.find(entry.first);
            if (!at.dispatcher_up || paused(d) || group == at.groups.end()) {
                continue;
            }
            if (group->second.counters().slots >= entry.second) {
                return true;
            }
        }
        return false;
    });
}

double recovery_simulation::back_after(timestamp from, double share_left) const
{
    constexpr std::size_t before_steps = 40; // the 10 s before the fault
    constexpr std::size_t mean_steps = 20;   // 5 s: a small fleet varies by some percent between two steps
    constexpr double back_share = 0.9;
    const auto mean = [&](std::size_t first, std::size_t steps) {
        const auto begin = m_figures.rate.begin() + static_cast<std::ptrdiff_t>(first);
        return std::accumulate(begin, begin + static_cast<std::ptrdiff_t>(steps), 0.0) / static_cast<double>(steps);
    };
    const double before = mean(static_cast<std::size_t>(fault_time / rate_step) - before_steps, before_steps);
    const auto first = static_cast<std::size_t>(from / rate_step);
    // The last mean below the wanted rate decides, so that a rate that falls again is not taken for recovered.
    std::size_t back = first;
    std::size_t n = first;
    for (; n + mean_steps <= m_figures.rate.size(); ++n) {
        back = mean(n, mean_steps) < back_share * before * share_left ? n + 1 : back;
    }
    if (back == n) {
        return std::numeric_limits<double>::infinity();
    }
    return static_cast<double>(back) * rate_step_s - to_s(from);
}

recovery_figures recovery_simulation::figures(recovery_fault fault) const
{
    auto result = m_figures;
    result.known_s = m_known ? to_s(*m_known - fault_time) : std::numeric_limits<double>::infinity();
    for (const auto& t : m_targets) {
        result.largest_share = std::max(result.largest_share, static_cast<double>(t.largest) / t.info.slots);
    }
    // A call that still waits has waited at least until now.
    for (const auto& item : m_calls) {
        if (item.priority == service_class::safety && item.started < item.asked && item.run == 0) {
            result.urgent_wait_s = std::max(result.urgent_wait_s, to_s(m_clock.now() - item.asked));
        }
    }
    const timestamp from = fault == recovery_fault::mass_restart ? fault_end_time(fault) : fault_time;
    result.back_s = back_after(from, m_capacity_left);
    const auto at = static_cast<std::size_t>(fault_time / rate_step);
    const auto before = result.rate.at(at - 1);
    const auto lowest =
        std::ranges::min_element(result.rate.begin() + static_cast<std::ptrdiff_t>(at), result.rate.end());
    result.lowest_rate = *lowest / before;
    constexpr std::size_t steps_per_s = 10;
    constexpr std::uint32_t enough = 50;
    for (std::size_t n = 0; n < m_returns.size(); ++n) {
        // Of the seconds that contain this step, the one with the most callers: a wave that only begins is not a peak.
        std::uint32_t most = 0;
        for (std::size_t first = n - std::min(n, steps_per_s - 1); first <= n; ++first) {
            const auto part = std::span(m_returns).subspan(first, std::min(steps_per_s, m_returns.size() - first));
            most = std::max(most, std::accumulate(part.begin(), part.end(), 0U));
        }
        if (most >= enough) {
            result.return_peak = std::max(result.return_peak, m_returns[n] / static_cast<double>(most));
        }
    }
    return result;
}

} // namespace lagoonferry::bench
