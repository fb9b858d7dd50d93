#include "roles/peer_controller.h"

#include "peer/rpc_client.h"

#include <caf/event_based_actor.hpp>
#include <caf/result.hpp>
#include <caf/sec.hpp>
#include <nlohmann/json.hpp>

#include <memory>

namespace lagoonferry {

namespace {

constexpr std::chrono::milliseconds call_timeout{1000};

struct peer_worker_state {
    std::unique_ptr<rpc_client> client;
};

template <class Reply, class Request>
caf::result<Reply> call(rpc_client& client, const std::string& method, const Request& request)
{
    const auto result = client.call(method, request);
    if (!result) {
        return caf::sec::request_receiver_down;
    }
    try {
        return result->template get<Reply>();
    }
    catch (const nlohmann::json::exception&) {
        return caf::sec::request_receiver_down;
    }
}

caf::behavior peer_worker(caf::stateful_actor<peer_worker_state>* self, const network_address& address,
                          const std::string& rpc_token)
{
    self->state.client = std::make_unique<rpc_client>(address, rpc_token, call_timeout);
    return {
        [self](const send_takeover& m) {
            self->state.client->call("take_over", {{"partition", m.partition}});
        },
        [self](const send_replicate& m) { return call<replicate_reply>(*self->state.client, "replicate", m.message); },
        [self](const send_fetch& m) { return call<fetch_reply>(*self->state.client, "fetch", m.message); },
    };
}

caf::actor worker_for(caf::stateful_actor<peer_controller_state>* self, const std::string& address,
                      const std::string& token)
{
    const auto it = self->state.workers.find(address);
    if (it != self->state.workers.end()) {
        return it->second;
    }
    const auto parsed = parse_address(address);
    caf::actor worker =
        self->spawn<caf::linked + caf::detached>(peer_worker, parsed.value_or(network_address{"0.0.0.0", 0}), token);
    self->state.workers.emplace(address, worker);
    return worker;
}

} // namespace

caf::behavior peer_controller(caf::stateful_actor<peer_controller_state>* self, const std::string& rpc_token)
{
    return {
        [self, rpc_token](const send_replicate& message) {
            return self->delegate(worker_for(self, message.backup.address, rpc_token), message);
        },
        [self, rpc_token](const send_fetch& message) {
            return self->delegate(worker_for(self, message.backup.address, rpc_token), message);
        },
        [self, rpc_token](const send_takeover& message) {
            self->send(worker_for(self, message.address, rpc_token), message);
        },
    };
}

} // namespace lagoonferry
