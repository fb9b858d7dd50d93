#include "roles/order_sender.h"

#include "backends/engine_client.h"
#include "util/log.h"

#include <caf/event_based_actor.hpp>

namespace lagoonferry {

namespace {

constexpr std::chrono::milliseconds call_timeout{1000};
constexpr int http_ok = 200;

/// Sends one order. Returns false if the target is known not to have executed it.
bool send_one(engine_client& engines, const send_order& message, const char* kind, const std::string& name)
{
    if (name.empty()) {
        return true;
    }
    const engine_order_result result =
        engines.order(message.address, {kind, name, fencing_token{"orders", message.fence}}, call_timeout);
    const bool accepted = result.end == call_end::no_reply || result.http_status == http_ok;
    log(log_part::dispatch, accepted ? log_level::info : log_level::warning, "Order sent.",
        field("target", message.order.target), field("kind", kind), field("name", name),
        field("status", result.http_status), field("reason", result.reason.text));
    return accepted;
}

} // namespace

caf::behavior order_sender(caf::stateful_actor<order_sender_state>* /*self*/, engine_client* engines)
{
    return {[engines](const send_order& message) {
        const bool accepted = send_one(*engines, message, "unload_model", message.order.unload) &&
                              send_one(*engines, message, "load_model", message.order.load);
        return order_result{message.service, message.order.target, accepted};
    }};
}

} // namespace lagoonferry
