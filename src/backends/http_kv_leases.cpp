#include "backends/http_kv_leases.h"

#include "backends/call_counts.h"
#include "backends/http_connection.h"
#include "backends/json_response.h"
#include "backends/kv_response.h"

namespace lagoonferry {

namespace {

kv_status status_of_lease_call(const http_response& response, failure& reason)
{
    if (response.end == call_end::answered && (response.status == 200 || response.status == 404)) {
        return response.status == 200 ? kv_status::ok : kv_status::conflict;
    }
    reason = describe_failure(response, result_code::platform_unavailable);
    return response.end == call_end::no_reply ? kv_status::unknown : kv_status::unavailable;
}

} // namespace

http_kv_leases::http_kv_leases(const std::string& address, std::chrono::milliseconds timeout, call_counts& counts)
    : m_connection(std::make_unique<http_connection>(address)), m_timeout(timeout), m_counts(counts)
{
}

http_kv_leases::~http_kv_leases() = default;

std::optional<std::string> http_kv_leases::grant(std::chrono::milliseconds time_to_live)
{
    const nlohmann::json body{{"ttl_ms", time_to_live.count()}};
    const http_response response =
        m_connection->send({"POST", "/lease", {}, body.dump()}, http_timeouts::all(m_timeout));
    m_counts.add(call_kind::kv_lease, response.end);
    return read_json_response(response, m_failure,
                              [](const nlohmann::json& it) { return it.at("lease").get<std::string>(); });
}

kv_status http_kv_leases::renew(std::string_view lease)
{
    const http_response response =
        m_connection->send({"POST", "/lease/" + percent_encode(lease), {}, {}}, http_timeouts::all(m_timeout));
    m_counts.add(call_kind::kv_lease, response.end);
    return status_of_lease_call(response, m_failure);
}

kv_status http_kv_leases::revoke(std::string_view lease)
{
    const http_response response =
        m_connection->send({"DELETE", "/lease/" + percent_encode(lease), {}, {}}, http_timeouts::all(m_timeout));
    m_counts.add(call_kind::kv_lease, response.end);
    return status_of_lease_call(response, m_failure);
}

kv_write http_kv_leases::compare_and_swap(std::string_view key, std::uint64_t expected, std::string_view value,
                                          std::string_view lease)
{
    http_request request = kv_write_request("PUT", key, expected, value);
    request.headers.emplace_back("X-Lease", std::string(lease));
    const http_response response = m_connection->send(request, http_timeouts::all(m_timeout));
    m_counts.add(call_kind::kv_write, response.end);
    return read_kv_write(response, m_failure);
}

} // namespace lagoonferry
