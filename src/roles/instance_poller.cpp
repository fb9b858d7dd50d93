#include "roles/instance_poller.h"

#include "backends/http_instance_list.h"
#include "blackboard/board.h"
#include "membership/delegated_task.h"
#include "peer/network_address.h"
#include "util/log.h"

#include <caf/event_based_actor.hpp>

namespace lagoonferry {

namespace {

constexpr std::chrono::milliseconds call_timeout{1000};

member_role role_of(instance_kind kind)
{
    switch (kind) {
    case instance_kind::entry:
        return member_role::entry;
    case instance_kind::dispatch:
        return member_role::dispatch;
    case instance_kind::target:
        break;
    }
    return member_role::target;
}

listed_instance row_of(const instance& listed)
{
    listed_instance row{
        listed.id, role_of(listed.kind), {}, listed.failure_domain, listed.state == instance_state::leaving};
    if (const auto address = parse_address(listed.address)) {
        row.address = {address->host, address->port, 0, 0};
    }
    return row;
}

bool should_poll(const instance_poller_state& state, const board& shared, const std::string& self)
{
    const auto members = shared.members.read();
    std::vector<member> processes = members->entries;
    processes.insert(processes.end(), members->dispatchers.begin(), members->dispatchers.end());
    return !state.has_polled || is_delegate(delegated_task::poll_instances, processes, self);
}

void poll(instance_poller_state& state, caf::event_based_actor* self, const caf::actor& membership)
{
    const auto listed = state.list->poll();
    if (!listed) {
        log(log_part::membership, log_level::warning, "Instance list is unavailable.",
            field("reason", state.list->last_failure().text));
        return;
    }
    listed_instances message;
    std::ranges::transform(*listed, std::back_inserter(message.rows), row_of);
    state.has_polled = true;
    self->send(membership, message);
}

} // namespace

caf::behavior instance_poller(caf::stateful_actor<instance_poller_state>* self, const instance_poller_options& options,
                              const caf::actor& membership, const board* shared, call_counts* counts)
{
    self->state.list = std::make_unique<http_instance_list>(options.address, call_timeout, *counts);
    self->send(self, tick_atom::value);
    return {[=](tick_atom) {
        if (should_poll(self->state, *shared, options.self)) {
            poll(self->state, self, membership);
        }
        self->delayed_send(self, options.interval, tick_atom::value);
    }};
}

} // namespace lagoonferry
