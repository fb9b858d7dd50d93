#include "roles/partition_controller.h"

#include "entry/call_session.h"
#include "util/log.h"

#include <caf/event_based_actor.hpp>

namespace lagoonferry {

namespace {

// Longer than any timeout of the workers, which always reply.
constexpr std::chrono::seconds worker_timeout{60};

template <class T>
void set_request(T& input, request_id request)
{
    if constexpr (requires { input.request; }) {
        input.request = request;
    }
}

} // namespace

void partition_controller_state::start(caf::event_based_actor* self, const owner_settings& values,
                                       partition_receivers receivers)
{
    m_self = self;
    m_receivers = std::move(receivers);
    m_partition = values.partition;
    m_owner = std::make_unique<partition_owner>(values);
}

void partition_controller_state::on_event(const partition_event& message)
{
    if (!message.session) {
        handle_event(message.input);
        return;
    }
    const request_id request = m_next_request++;
    m_requests[request] = message.session;
    event input = message.input;
    std::visit([request](auto& value) { set_request(value, request); }, input);
    handle_event(input);
}

void partition_controller_state::on_timer()
{
    m_timer_at.reset();
    handle_event(timer_fired{});
}

void partition_controller_state::handle_event(const event& input)
{
    for (const action& next : m_owner->handle(input, steady_now())) {
        std::visit([this](const auto& value) { execute(value); }, next);
    }
    report_backups();
    schedule_timer();
}

void partition_controller_state::report_backups()
{
    std::vector<backup_ref> backups = m_owner->backups();
    if (backups != m_backups) {
        m_backups = std::move(backups);
        m_self->send(m_receivers.ownership, partition_backups{m_partition, m_backups});
    }
}

void partition_controller_state::schedule_timer()
{
    const auto next = m_owner->next_wake();
    if (!next || (m_timer_at && *m_timer_at <= *next)) {
        return;
    }
    m_timer_at = next;
    const auto delay = std::max(*next - steady_now(), timestamp{0});
    m_self->delayed_send(m_self, delay, tick_atom::value);
}

void partition_controller_state::execute(const kv_call& call)
{
    const std::uint64_t request = call.request;
    m_self->request(m_receivers.platform, worker_timeout, platform_request{call})
        .then([this](const kv_reply& reply) { handle_event(reply); },
              [this, request](const caf::error&) {
                  kv_reply no_reply;
                  no_reply.request = request;
                  handle_event(no_reply);
              });
}

void partition_controller_state::execute(const send_replicate& message)
{
    m_self->request(m_receivers.peers, worker_timeout, message)
        .then([this](const replicate_reply& reply) { handle_event(reply); }, [](const caf::error&) {});
}

void partition_controller_state::execute(const send_fetch& message)
{
    if (message.backup.id == m_receivers.self) {
        m_self->request(m_receivers.replicas, worker_timeout, replica_fetch{message.message})
            .then([this](const fetch_reply& reply) { handle_event(reply); }, [](const caf::error&) {});
        return;
    }
    m_self->request(m_receivers.peers, worker_timeout, message)
        .then([this](const fetch_reply& reply) { handle_event(reply); }, [](const caf::error&) {});
}

void partition_controller_state::execute(const start_engine_call& call)
{
    const auto it = m_requests.find(call.request);
    if (it != m_requests.end()) {
        m_engine_calls[call.call] = it->second;
        it->second->post(call);
        return;
    }
    engine_failed failed;
    failed.call = call.call;
    failed.epoch = call.epoch;
    failed.run = execution_state::not_run;
    failed.text = "the request has ended";
    m_self->send(m_self, partition_event{failed, nullptr});
}

void partition_controller_state::execute(const cancel_engine_call& call)
{
    log(log_part::program, log_level::info, "Cancelling an engine call whose result is no longer needed.",
        field("call", call.call));
    const auto it = m_engine_calls.find(call.call);
    if (it != m_engine_calls.end()) {
        it->second->cancel();
    }
}

void partition_controller_state::execute(const send_tool_call& call)
{
    const auto it = m_requests.find(call.request);
    if (it != m_requests.end()) {
        it->second->post(call);
        return;
    }
    call_finished finished;
    finished.call = call.call;
    finished.epoch = call.epoch;
    finished.attempt = call.attempt;
    finished.status = call_status::not_sent;
    finished.result = "the request has ended";
    m_self->send(m_self, partition_event{finished, nullptr});
}

void partition_controller_state::execute(const owner_reply& reply)
{
    const auto it = m_requests.find(reply.request);
    if (it == m_requests.end()) {
        return;
    }
    const std::shared_ptr<call_session> session = std::move(it->second);
    m_requests.erase(it);
    std::erase_if(m_engine_calls, [&session](const auto& item) { return item.second == session; });
    session->post(reply);
}

void partition_controller_state::execute(const release_engine_memory& order)
{
    m_self->send(m_receivers.engines, order);
}

void partition_controller_state::execute(const partition_ready& status)
{
    log(log_part::program, log_level::info, "Partition is owned.", field("partition", m_partition),
        field("epoch", status.epoch));
    m_self->send(m_receivers.ownership, partition_status{m_partition, true, status.epoch, {}, {}});
}

void partition_controller_state::execute(const partition_lost& status)
{
    const std::string owner = status.owner ? status.owner->id : std::string();
    const bool handed_over = status.reason == loss_reason::handed_over;
    log(log_part::program, log_level::info, "Partition is no longer owned.", field("partition", m_partition),
        field("owner", owner), field("handed_over", handed_over));
    partition_status message{m_partition, false, 0, owner, {}};
    if (handed_over && status.owner) {
        message.successor_address = status.owner->address;
    }
    m_self->send(m_receivers.ownership, message);
}

caf::behavior partition_controller(caf::stateful_actor<partition_controller_state>* self, const owner_settings& values,
                                   const partition_receivers& receivers)
{
    self->state.start(self, values, receivers);
    return {
        [self](const partition_event& message) { self->state.on_event(message); },
        [self](tick_atom) { self->state.on_timer(); },
    };
}

} // namespace lagoonferry
