#include "backends/http_tool_client.h"

#include "backends/connection_pool.h"
#include "backends/fencing_headers.h"
#include "backends/http_connection.h"
#include "backends/json_response.h"

namespace lagoonferry {

namespace {

http_request make_request(const tool_call& call)
{
    http_request request{"POST", "/call/" + percent_encode(call.name), {}, call.arguments};
    request.headers.emplace_back("Content-Type", "application/json");
    request.headers.emplace_back("X-Call-Id", call.call_id);
    request.headers.emplace_back("X-Deadline-Ms", std::to_string(call.deadline.count()));
    if (!call.idempotency_key.empty()) {
        request.headers.emplace_back("Idempotency-Key", call.idempotency_key);
    }
    add_fencing_headers(request.headers, call.fence);
    return request;
}

} // namespace

http_tool_client::http_tool_client(std::size_t max_connections, call_counts& counts)
    : m_pool(std::make_unique<connection_pool>(max_connections)), m_counts(counts)
{
}

http_tool_client::~http_tool_client() = default;

tool_result http_tool_client::call(const tool_call& call)
{
    const connection_pool::handle connection = m_pool->take(call.address);
    http_response response;
    response.reason = "all connections are in use";
    if (connection != nullptr) {
        response = connection->send(make_request(call), {call.connect_timeout, call.deadline, call.deadline});
    }
    m_counts.add(call_kind::tool_call, response.end);
    tool_result result{response.end, response.status, {}, {}};
    if (response.end == call_end::answered) {
        result.body = std::move(response.body);
        return result;
    }
    result.reason = describe_failure(response, result_code::target_failed);
    return result;
}

} // namespace lagoonferry
