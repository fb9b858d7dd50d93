#include "roles/release_controller.h"

#include "backends/engine_client.h"
#include "blackboard/board.h"
#include "util/log.h"

#include <caf/event_based_actor.hpp>

#include <algorithm>

namespace lagoonferry {

namespace {

constexpr std::chrono::milliseconds call_timeout{500};
constexpr std::chrono::milliseconds tick_interval{200};
constexpr timestamp min_retry_interval = std::chrono::milliseconds(500);

// Engines drop an unused program after 60 s themselves, so later attempts would have no effect.
constexpr timestamp release_lifetime = std::chrono::seconds(90);

} // namespace

void release_controller_state::start(const board* shared, engine_client* engines)
{
    m_board = shared;
    m_engines = engines;
}

void release_controller_state::add(const release_engine_memory& order, timestamp now)
{
    const auto add_one = [&](const std::string& target) {
        m_pending.push_back({order.program, target, now, min_retry_interval, now + release_lifetime});
    };
    if (!order.targets.empty()) {
        std::ranges::for_each(order.targets, add_one);
        return;
    }
    const auto known = m_board->targets.read();
    for (const auto& [id, target] : known->targets) {
        if (target.scope == order.service) {
            add_one(id);
        }
    }
}

void release_controller_state::run(timestamp now)
{
    for (pending_release& item : m_pending) {
        if (now < item.next_attempt) {
            continue;
        }
        if (try_release(item)) {
            item.expires_at = now;
        }
        item.next_attempt = now + item.interval;
        item.interval *= 2;
    }
    std::erase_if(m_pending, [now](const pending_release& item) { return item.expires_at <= now; });
}

bool release_controller_state::try_release(const pending_release& item) const
{
    const auto targets = m_board->targets.read();
    const auto it = targets->targets.find(item.target);
    if (it == targets->targets.end()) {
        return true;
    }
    failure error;
    const auto released = m_engines->release(it->second.address, item.program, call_timeout, error);
    if (!released) {
        log(log_part::entry, log_level::warning, "Engine memory was not released.", field("program", item.program),
            field("target", item.target), field("reason", error.text));
    }
    return released.has_value();
}

caf::behavior release_controller(caf::stateful_actor<release_controller_state>* self, const board* shared,
                                 engine_client* engines)
{
    self->state.start(shared, engines);
    self->delayed_send(self, tick_interval, tick_atom::value);
    return {
        [self](const release_engine_memory& order) { self->state.add(order, steady_now()); },
        [self](tick_atom) {
            self->state.run(steady_now());
            self->delayed_send(self, tick_interval, tick_atom::value);
        },
    };
}

} // namespace lagoonferry
