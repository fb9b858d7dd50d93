#include "roles/load_poller.h"

#include "backends/engine_client.h"
#include "blackboard/board.h"

#include <caf/event_based_actor.hpp>

namespace lagoonferry {

namespace {

constexpr std::chrono::milliseconds poll_interval{1000};
constexpr std::chrono::milliseconds call_timeout{200};

bool serves(const target_map& map, const std::string& target, const std::string& id)
{
    const auto group = map.groups->group_of(target);
    if (!group) {
        return false;
    }
    const auto order = map.groups->dispatchers_of(*group);
    return !order.empty() && order.front() == id;
}

void poll_cache(const std::string& target, const std::string& address, cache_event_tracker& caches,
                engine_client& engines, std::vector<cache_event>& out)
{
    failure error;
    const auto response = engines.cache_events(address, caches.resume_position(target), call_timeout, error);
    if (!response) {
        return;
    }
    const cache_event_tracker::result update = caches.apply(target, *response);
    out.insert(out.end(), update.events.begin(), update.events.end());
    if (!update.incomplete) {
        return;
    }
    if (const auto cache_state = engines.cache_state(address, call_timeout, error)) {
        const auto changes = caches.resync(target, *cache_state);
        out.insert(out.end(), changes.begin(), changes.end());
    }
}

target_reports poll(const target_map& map, const std::string& id, cache_event_tracker& caches, engine_client& engines)
{
    target_reports message;
    for (const auto& item : map.targets) {
        if (!serves(map, item.first, id)) {
            continue;
        }
        failure error;
        if (const auto load = engines.load(item.second.address, call_timeout, error)) {
            message.reports.push_back({item.first, load->running, load->queued, load->models});
            poll_cache(item.first, item.second.address, caches, engines, message.cache_events);
        }
    }
    return message;
}

} // namespace

caf::behavior load_poller(caf::stateful_actor<load_poller_state>* self, const std::string& id,
                          const caf::actor& dispatch, const board* shared, engine_client* engines)
{
    self->send(self, tick_atom::value);
    return {[=](tick_atom) {
        const auto map = shared->targets.read();
        if (map->groups) {
            self->send(dispatch, poll(*map, id, self->state.caches, *engines));
        }
        self->delayed_send(self, poll_interval, tick_atom::value);
    }};
}

} // namespace lagoonferry
