#include "roles/dispatch_role.h"

#include "roles/dispatch_controller.h"
#include "roles/load_poller.h"
#include "roles/order_sender.h"
#include "roles/role_process.h"
#include "roles/stop_signal.h"
#include "settings/role_options.h"
#include "util/log.h"

#include <caf/event_based_actor.hpp>
#include <caf/send.hpp>

#include <iostream>
#include <thread>

namespace lagoonferry {

namespace {

// Within this time slot holders learn from heartbeats that this process is leaving, and use the next dispatcher.
constexpr std::chrono::milliseconds leave_delay{2000};

std::optional<order_settings> orders_of(const weight_settings& weights)
{
    if (weights.loads_per_minute == 0) {
        return std::nullopt;
    }
    order_settings settings;
    settings.load_interval = timestamp(std::chrono::minutes(1)) / weights.loads_per_minute.value();
    settings.loads_in_flight = weights.loads_in_flight;
    return settings;
}

} // namespace

int run_dispatch_role(const std::vector<std::string>& args)
{
    const role_options_result start = read_role_options("dispatch", args, std::cout, std::cerr);
    if (!start.values) {
        return start.status;
    }
    block_stop_signals();
    apply_log_settings(start.values->log);
    role_process process(*start.values, member_role::dispatch);
    if (!process.bind()) {
        return exit_refused;
    }
    const std::string id = start.values->identity.instance_id.text();
    dispatch_options options{id, process.start_time(), orders_of(start.values->weights), {}};
    options.order_sender =
        process.register_actor(process.actors().spawn<caf::detached>(order_sender, &process.engines()));
    const caf::actor dispatch = process.register_actor(
        process.actors().spawn(dispatch_controller, options, &process.shared(), &process.sender()));
    process.start({}, dispatch);
    process.register_actor(
        process.actors().spawn<caf::detached>(load_poller, id, dispatch, &process.shared(), &process.engines()));
    wait_for_stop_signal();
    log(log_part::main, log_level::info, "Stopping.", field("id", id));
    process.shared().stopping.write(true);
    // The slot holders of a superseded process already use the newer process, which has the same id.
    if (!*process.shared().superseded.read()) {
        caf::anon_send(process.membership(), drain_request{});
        std::this_thread::sleep_for(leave_delay);
    }
    process.stop();
    return exit_done;
}

} // namespace lagoonferry
