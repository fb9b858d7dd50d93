#include "roles/platform_worker.h"

#include "backends/http_kv_store.h"

#include <caf/event_based_actor.hpp>

namespace lagoonferry {

namespace {

kv_reply reply_of(const kv_call& call, const kv_write& written)
{
    kv_reply reply;
    reply.request = call.request;
    reply.status = written.status;
    reply.version = written.version;
    return reply;
}

kv_reply read(const kv_call& call, kv_store& store)
{
    const kv_read result = store.get(call.key);
    kv_reply reply;
    reply.request = call.request;
    reply.status = result.status;
    reply.value = result.entry.value;
    reply.version = result.entry.version;
    return reply;
}

kv_reply list(const kv_call& call, kv_store& store)
{
    auto keys = store.list(call.key);
    kv_reply reply;
    reply.request = call.request;
    reply.status = keys ? kv_status::ok : kv_status::unavailable;
    if (keys) {
        reply.keys = std::move(*keys);
    }
    return reply;
}

} // namespace

kv_reply execute(const kv_call& call, kv_store& store)
{
    switch (call.operation) {
    case kv_operation::get:
        return read(call, store);
    case kv_operation::compare_and_swap:
        return reply_of(call, store.compare_and_swap(call.key, call.expected, call.value));
    case kv_operation::erase:
        return reply_of(call, store.erase(call.key, call.expected));
    case kv_operation::list:
        break;
    }
    return list(call, store);
}

caf::behavior platform_worker(caf::stateful_actor<platform_worker_state>* self, const std::string& address,
                              std::chrono::milliseconds timeout, call_counts* counts)
{
    self->state.store = std::make_unique<http_kv_store>(address, timeout, *counts);
    return {[self](const platform_request& request) { return execute(request.call, *self->state.store); }};
}

} // namespace lagoonferry
