#include "backends/http_engine_client.h"

#include "backends/completion_reader.h"
#include "backends/connection_pool.h"
#include "backends/engine_request.h"
#include "backends/http_connection.h"
#include "backends/json_response.h"
#include "backends/sse_parser.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace lagoonferry {

namespace {

stream_end classify(const http_response& response, const completion_reader& reader, bool cancelled)
{
    if (reader.complete()) {
        return stream_end::complete;
    }
    if (cancelled || reader.stopped()) {
        return stream_end::cancelled;
    }
    if (response.end == call_end::not_sent) {
        return stream_end::not_sent;
    }
    if (response.status == 0) {
        return stream_end::no_answer;
    }
    return response.status == 200 ? stream_end::cut : stream_end::refused;
}

failure reason_of(stream_end end, const http_response& response, const failure& stream_error)
{
    switch (end) {
    case stream_end::complete:
        return {};
    case stream_end::cancelled:
        return {result_code::answer_cut, "cancelled"};
    case stream_end::cut:
        if (stream_error.code != result_code::ok) {
            return stream_error;
        }
        return {result_code::answer_cut,
                response.reason.empty() ? "the stream ended without its final event" : response.reason};
    default:
        return describe_failure(response, result_code::target_failed);
    }
}

call_end call_end_of(stream_end end, const http_response& response)
{
    return end == stream_end::complete ? call_end::answered
           : end == stream_end::cut    ? call_end::no_reply
                                       : response.end;
}

engine_load read_load(const nlohmann::json& body)
{
    engine_load out;
    out.running = body.at("running").get<std::uint32_t>();
    out.queued = body.at("queued").get<std::uint32_t>();
    out.batch_limit = body.at("batch_limit").get<std::uint32_t>();
    out.held_tokens = body.at("held_tokens").get<std::uint64_t>();
    out.capacity_tokens = body.at("capacity_tokens").get<std::uint64_t>();
    out.tokens_per_second = body.at("tokens_per_second").get<double>();
    if (body.contains("models")) {
        out.models = body.at("models").get<std::vector<std::string>>();
    }
    return out;
}

engine_cache_events read_events(const nlohmann::json& body)
{
    engine_cache_events out;
    for (const auto& it : body.at("events")) {
        out.events.push_back({it.at("sequence").get<std::uint64_t>(), it.at("kind").get<std::string>(),
                              it.at("program").get<std::string>(), it.at("tokens").get<std::uint64_t>()});
    }
    return out;
}

engine_cache_state read_cache_state(const nlohmann::json& body)
{
    return {body.at("capacity_tokens").get<std::uint64_t>(),
            body.at("programs").get<std::map<std::string, std::uint64_t>>()};
}

std::uint64_t read_tokens(const nlohmann::json& body)
{
    return body.at("tokens").get<std::uint64_t>();
}

} // namespace

/// A running stream, registered for `cancel`.
struct http_engine_client::running_stream {
    std::string call_id;
    std::mutex mutex;
    http_connection* connection = nullptr; ///< null once the stream has ended
};

http_engine_client::http_engine_client(std::size_t max_connections, call_counts& counts)
    : m_pool(std::make_unique<connection_pool>(max_connections)), m_counts(counts)
{
}

http_engine_client::~http_engine_client() = default;

engine_answer http_engine_client::stream(const engine_call& call, const token_callback& on_token)
{
    const connection_pool::handle connection = m_pool->take(call.address);
    completion_reader reader(on_token);
    sse_parser events([&](std::string_view data) { return reader.read_event(data); });
    http_response response;
    response.reason = "all connections are in use";
    bool cancelled = false;
    if (connection != nullptr) {
        const stream_ptr stream = register_stream(call.call_id, *connection);
        response = connection->send(make_completion_request(call),
                                    {call.connect_timeout, call.idle_timeout, call.total_timeout},
                                    [&](std::string_view chunk) { return events.feed(chunk); });
        unregister_stream(stream);
        cancelled = connection->interrupted();
    }
    engine_answer answer = std::move(reader.answer());
    answer.end = classify(response, reader, cancelled);
    answer.http_status = response.status;
    answer.reason = reason_of(answer.end, response, answer.reason);
    m_counts.add(call_kind::engine_stream, call_end_of(answer.end, response));
    return answer;
}

call_end http_engine_client::cancel(const std::string& address, const std::string& call_id,
                                    std::chrono::milliseconds timeout)
{
    interrupt_streams(call_id);
    return exchange(call_kind::engine_cancel, address, {"DELETE", "/v1/calls/" + percent_encode(call_id), {}, {}},
                    timeout)
        .end;
}

std::optional<std::uint64_t> http_engine_client::release(const std::string& address, const std::string& program,
                                                         std::chrono::milliseconds timeout, failure& reason)
{
    const http_request request{"DELETE", "/v1/cache/" + percent_encode(program), {}, {}};
    return read_json_response(exchange(call_kind::engine_release, address, request, timeout), reason, read_tokens);
}

std::optional<engine_load> http_engine_client::load(const std::string& address, std::chrono::milliseconds timeout,
                                                    failure& reason)
{
    const http_request request{"GET", "/v1/load", {}, {}};
    return read_json_response(exchange(call_kind::engine_report, address, request, timeout), reason, read_load);
}

std::optional<engine_cache_events> http_engine_client::cache_events(const std::string& address, std::uint64_t after,
                                                                    std::chrono::milliseconds timeout, failure& reason)
{
    const http_request request{"GET", "/v1/cache/events?after=" + std::to_string(after), {}, {}};
    return read_json_response(exchange(call_kind::engine_report, address, request, timeout), reason, read_events);
}

std::optional<engine_cache_state> http_engine_client::cache_state(const std::string& address,
                                                                  std::chrono::milliseconds timeout, failure& reason)
{
    const http_request request{"GET", "/v1/cache", {}, {}};
    return read_json_response(exchange(call_kind::engine_report, address, request, timeout), reason, read_cache_state);
}

std::optional<std::string> http_engine_client::export_cache(const std::string& address, const std::string& program,
                                                            std::chrono::milliseconds timeout, failure& reason)
{
    const nlohmann::json body{{"program", program}};
    http_response response =
        exchange(call_kind::engine_transfer, address, {"POST", "/v1/cache/export", {}, body.dump()}, timeout);
    if (response.end == call_end::answered && response.status == 200) {
        return std::move(response.body);
    }
    reason = describe_failure(response, result_code::target_failed);
    return std::nullopt;
}

std::optional<std::uint64_t> http_engine_client::import_cache(const std::string& address, const std::string& exported,
                                                              std::chrono::milliseconds timeout, failure& reason)
{
    const http_request request{"POST", "/v1/cache/import", {}, exported};
    return read_json_response(exchange(call_kind::engine_transfer, address, request, timeout), reason, read_tokens);
}

engine_order_result http_engine_client::order(const std::string& address, const engine_order& order,
                                              std::chrono::milliseconds timeout)
{
    nlohmann::json body{{"kind", order.kind}, {"name", order.name}};
    if (order.fence) {
        body["fence"] = order.fence->number;
        body["fence_scope"] = order.fence->scope;
    }
    const http_response response =
        exchange(call_kind::engine_order, address, {"POST", "/v1/orders", {}, body.dump()}, timeout);
    engine_order_result result{response.end, response.status, {}};
    if (response.end != call_end::answered || response.status != 200) {
        result.reason = describe_failure(response, result_code::target_failed);
    }
    return result;
}

http_response http_engine_client::exchange(call_kind kind, const std::string& address, const http_request& request,
                                           std::chrono::milliseconds timeout)
{
    const connection_pool::handle connection = m_pool->take(address);
    http_response response;
    response.reason = "all connections are in use";
    if (connection != nullptr) {
        response = connection->send(request, http_timeouts::all(timeout));
    }
    m_counts.add(kind, response.end);
    return response;
}

http_engine_client::stream_ptr http_engine_client::register_stream(const std::string& call_id,
                                                                   http_connection& connection)
{
    auto added = std::make_shared<running_stream>();
    added->call_id = call_id;
    added->connection = &connection;
    const std::lock_guard lock(m_mutex);
    m_streams.insert(added);
    return added;
}

void http_engine_client::unregister_stream(const stream_ptr& stream)
{
    {
        const std::lock_guard lock(m_mutex);
        m_streams.erase(stream);
    }
    const std::lock_guard lock(stream->mutex);
    stream->connection = nullptr;
}

void http_engine_client::interrupt_streams(const std::string& call_id)
{
    std::vector<stream_ptr> found;
    {
        const std::lock_guard lock(m_mutex);
        std::ranges::copy_if(m_streams, std::back_inserter(found),
                             [&](const stream_ptr& it) { return it->call_id == call_id; });
    }
    // `m_mutex` is not held here, because `interrupt` blocks while its connection is being established.
    for (const stream_ptr& it : found) {
        const std::lock_guard lock(it->mutex);
        if (it->connection != nullptr) {
            it->connection->interrupt();
        }
    }
}

std::string_view to_string(stream_end end)
{
    switch (end) {
    case stream_end::complete:
        return "complete";
    case stream_end::not_sent:
        return "not_sent";
    case stream_end::refused:
        return "refused";
    case stream_end::no_answer:
        return "no_answer";
    case stream_end::cut:
        return "cut";
    case stream_end::cancelled:
        return "cancelled";
    }
    return "cut";
}

} // namespace lagoonferry
