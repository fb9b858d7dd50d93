#include "roles/dispatch_controller.h"

#include "blackboard/board.h"
#include "dispatch/document_shares.h"
#include "dispatch/make_dispatcher.h"
#include "peer/datagram_sender.h"
#include "util/log.h"

#include <caf/event_based_actor.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace lagoonferry {

namespace {

constexpr std::chrono::milliseconds tick_interval{50};
constexpr std::chrono::milliseconds plan_interval{1000};

} // namespace

void dispatch_controller_state::start(caf::event_based_actor* self, const dispatch_options& options, board* shared,
                                      datagram_sender* sender)
{
    m_self = self;
    m_options = options;
    m_board = shared;
    m_sender = sender;
    self->send(self, tick_atom::value);
}

slot_dispatcher& dispatch_controller_state::dispatcher_of(const std::string& group, timestamp now)
{
    const auto it = m_groups.find(group);
    if (it != m_groups.end()) {
        return it->second;
    }
    log(log_part::dispatch, log_level::info, "Serving a group of targets.", field("group", group));
    const auto seed = static_cast<std::uint64_t>(now.count());
    slot_dispatcher& added =
        m_groups.emplace(group, make_dispatcher(dispatch_settings{}, m_options.incarnation, seed, now)).first->second;
    m_applied_documents.clear();
    apply_documents();
    update_targets(now);
    return added;
}

void dispatch_controller_state::apply_documents()
{
    const auto documents = m_board->documents.read();
    if (documents->services == m_applied_documents) {
        return;
    }
    m_applied_documents = documents->services;
    std::map<std::string, double, std::less<>> weights;
    std::map<std::string, per_class<double>> shares; // by model
    for (const auto& [service, in_force] : m_applied_documents) {
        add_account_weights(in_force->document, weights);
        const per_class<double> service_shares = class_shares(in_force->document);
        for (const model& item : in_force->document.models) {
            auto& model_shares = shares.try_emplace(item.name, service_shares).first->second;
            // Services that name the same model share its targets, so the smaller class share applies.
            std::ranges::transform(model_shares, service_shares, model_shares.begin(),
                                   [](double a, double b) { return std::min(a, b); });
        }
    }
    for (auto& [group, dispatcher] : m_groups) {
        dispatcher.set_account_weights(weights);
        const auto it = shares.find(group.substr(0, group.find('/')));
        if (it != shares.end()) {
            dispatcher.set_class_share(it->second);
        }
    }
}

void dispatch_controller_state::update_targets(timestamp now)
{
    const auto targets = m_board->targets.read();
    if (!targets->groups) {
        return;
    }
    std::vector<std::string> holders;
    const auto entries = m_board->all_entries.read();
    for (const observed_member& item : *entries) {
        if (!item.presumed_down) {
            holders.push_back(item.known.id);
        }
    }
    for (auto& [group, dispatcher] : m_groups) {
        dispatcher.set_holders(holders);
    }
    for (const auto& item : targets->targets) {
        const auto group = targets->groups->group_of(item.first);
        if (!group) {
            continue;
        }
        update_target(item.second, *group, now);
    }
}

void dispatch_controller_state::update_target(const known_target& target, const std::string& document_group,
                                              timestamp now)
{
    target_info info = target.info;
    std::string current_group = document_group;
    const auto orders = m_orders.find(target.scope);
    if (orders != m_orders.end()) {
        const std::string model = orders->second.model_of(info.id, info.model);
        current_group = model == info.model ? document_group : model;
        info.model = model;
        if (info.state == target_state::live && !orders->second.usable(info.id)) {
            info.state = target_state::leaving;
        }
    }
    for (auto& [group, dispatcher] : m_groups) {
        if (group == current_group) {
            dispatcher.set_target(info, now);
            continue;
        }
        const auto& known = dispatcher.targets();
        const auto it = std::ranges::find_if(known, [&](const target_stats& t) { return t.info.id == info.id; });
        if (it != known.end() && it->info.state != target_state::gone) {
            target_info gone = it->info;
            gone.state = target_state::gone;
            dispatcher.set_target(gone, now);
        }
    }
}

bool dispatch_controller_state::may_order(const target_map& targets, const target_group& group) const
{
    const auto order = targets.groups->dispatchers_of(group.id);
    return group.id == group.model && !order.empty() && order.front() == m_options.id;
}

std::vector<model_demand> dispatch_controller_state::demand_of(const std::string& service, const target_map& targets)
{
    std::vector<model_demand> demand;
    for (const target_group& group : targets.groups->groups()) {
        const auto target = group.targets.empty() ? targets.targets.end() : targets.targets.find(group.targets.front());
        if (target == targets.targets.end() || target->second.scope != service || !may_order(targets, group)) {
            continue;
        }
        model_demand item{group.model};
        const auto it = m_groups.find(group.id);
        if (it != m_groups.end()) {
            const dispatch_counters counters = it->second.counters();
            item.running = static_cast<std::uint32_t>(counters.slots);
            item.waiting = static_cast<std::uint32_t>(counters.waiting);
            item.arrivals = static_cast<std::uint32_t>(counters.granted - m_previous_grants[group.id]);
            m_previous_grants[group.id] = counters.granted;
        }
        demand.push_back(std::move(item));
    }
    return demand;
}

std::uint32_t dispatch_controller_state::in_flight(std::string_view target) const
{
    std::uint32_t sum = 0;
    for (const auto& [group, dispatcher] : m_groups) {
        const auto& known = dispatcher.targets();
        const auto it = std::ranges::find_if(known, [&](const target_stats& t) { return t.info.id == target; });
        sum += it == known.end() ? 0 : it->in_flight;
    }
    return sum;
}

void dispatch_controller_state::plan_orders(timestamp now)
{
    const auto targets = m_board->targets.read();
    if (!m_options.orders || !targets->groups || now < m_next_plan) {
        return;
    }
    m_next_plan = now + plan_interval;
    std::map<std::string, std::vector<target_orders::member>> members;
    for (const target_group& group : targets->groups->groups()) {
        if (!may_order(*targets, group)) {
            continue;
        }
        for (const std::string& id : group.targets) {
            const auto& target = targets->targets.find(id)->second;
            members[target.scope].push_back(
                {id, target.info.model, target.info.slots, in_flight(id), target.info.state == target_state::live});
        }
    }
    std::erase_if(m_orders, [&](const auto& item) { return !members.contains(item.first); });
    for (const auto& [service, listed] : members) {
        const auto seed = static_cast<std::uint64_t>(now.count());
        auto& orders = m_orders.try_emplace(service, *m_options.orders, seed).first->second;
        send_orders(service, orders.step(demand_of(service, *targets), listed, now));
    }
}

void dispatch_controller_state::send_orders(const std::string& service, const std::vector<target_order>& orders)
{
    const auto targets = m_board->targets.read();
    const auto unix_time = std::chrono::system_clock::now().time_since_epoch();
    const auto fence = std::chrono::duration_cast<std::chrono::milliseconds>(unix_time).count();
    for (const target_order& order : orders) {
        const auto it = targets->targets.find(order.target);
        if (it != targets->targets.end()) {
            m_self->send(m_options.order_sender,
                         send_order{service, it->second.address, order, static_cast<std::uint64_t>(fence)});
        }
    }
}

void dispatch_controller_state::on_order_result(const order_result& message)
{
    const auto it = m_orders.find(message.service);
    if (it != m_orders.end() && !message.accepted) {
        it->second.refused(message.target, steady_now());
    }
}

void dispatch_controller_state::on_datagram(const slot_datagram& message)
{
    const timestamp now = steady_now();
    send(message.group, dispatcher_of(message.group, now).handle(message.message, now));
}

void dispatch_controller_state::on_target_reports(const target_reports& message)
{
    const auto targets = m_board->targets.read();
    for (const load_report& report : message.reports) {
        const auto known = targets->targets.find(report.target);
        const auto orders = known == targets->targets.end() ? m_orders.end() : m_orders.find(known->second.scope);
        if (orders != m_orders.end()) {
            orders->second.report(report, steady_now());
        }
        for (auto& [group, dispatcher] : m_groups) {
            dispatcher.report_load(report);
        }
    }
    for (const cache_event& event : message.cache_events) {
        for (auto& [group, dispatcher] : m_groups) {
            dispatcher.report_cache(event);
        }
    }
}

void dispatch_controller_state::on_tick()
{
    const timestamp now = steady_now();
    apply_documents();
    plan_orders(now);
    update_targets(now);
    for (auto& [group, dispatcher] : m_groups) {
        send(group, dispatcher.tick(now));
    }
    publish();
    m_self->delayed_send(m_self, tick_interval, tick_atom::value);
}

void dispatch_controller_state::send(const std::string& group, const outgoing& messages)
{
    const auto members = m_board->members.read();
    for (const outgoing_slot_message& item : messages) {
        const member* holder = members->find(item.to);
        if (holder == nullptr) {
            continue;
        }
        const network_address to{holder->address.ip, holder->address.datagram_port};
        m_sender->send(to, datagram_kind::dispatch, {{"g", group}, {"m", encode_slot_message(item.message)}});
    }
}

void dispatch_controller_state::publish()
{
    std::map<std::string, group_status> view;
    for (const auto& [group, dispatcher] : m_groups) {
        view[group] = {dispatcher.counters(), dispatcher.targets()};
    }
    m_board->dispatch.write(std::move(view));
}

caf::behavior dispatch_controller(caf::stateful_actor<dispatch_controller_state>* self, const dispatch_options& options,
                                  board* shared, datagram_sender* sender)
{
    self->state.start(self, options, shared, sender);
    return {
        [self](const slot_datagram& message) { self->state.on_datagram(message); },
        [self](const target_reports& message) { self->state.on_target_reports(message); },
        [self](const order_result& message) { self->state.on_order_result(message); },
        [self](tick_atom) { self->state.on_tick(); },
    };
}

} // namespace lagoonferry
