#include "backends/http_kv_store.h"

#include "backends/call_counts.h"
#include "backends/http_connection.h"
#include "backends/json_response.h"
#include "backends/kv_response.h"

namespace lagoonferry {

http_kv_store::http_kv_store(const std::string& address, std::chrono::milliseconds timeout, call_counts& counts)
    : m_connection(std::make_unique<http_connection>(address)), m_timeout(timeout), m_counts(counts)
{
}

http_kv_store::~http_kv_store() = default;

kv_read http_kv_store::get(std::string_view key)
{
    const http_request request{"GET", "/kv/" + percent_encode(key), {}, {}};
    http_response response = m_connection->send(request, http_timeouts::all(m_timeout));
    m_counts.add(call_kind::kv_read, response.end);
    if (response.end == call_end::answered && response.status == 404) {
        return {kv_status::ok, {}};
    }
    const auto version = read_version(response);
    if (response.end != call_end::answered || response.status != 200 || !version) {
        m_failure = describe_failure(response, result_code::platform_unavailable);
        return {kv_status::unavailable, {}};
    }
    return {kv_status::ok, {std::move(response.body), *version}};
}

kv_write http_kv_store::compare_and_swap(std::string_view key, std::uint64_t expected, std::string_view value)
{
    const http_response response =
        m_connection->send(kv_write_request("PUT", key, expected, value), http_timeouts::all(m_timeout));
    m_counts.add(call_kind::kv_write, response.end);
    return read_kv_write(response, m_failure);
}

kv_write http_kv_store::erase(std::string_view key, std::uint64_t expected)
{
    const http_response response =
        m_connection->send(kv_write_request("DELETE", key, expected, {}), http_timeouts::all(m_timeout));
    m_counts.add(call_kind::kv_write, response.end);
    return read_kv_write(response, m_failure);
}

std::optional<std::vector<std::string>> http_kv_store::list(std::string_view prefix)
{
    const http_request request{"GET", "/kv?prefix=" + percent_encode(prefix), {}, {}};
    const http_response response = m_connection->send(request, http_timeouts::all(m_timeout));
    m_counts.add(call_kind::kv_list, response.end);
    return read_json_response(response, m_failure,
                              [](const nlohmann::json& body) { return body.get<std::vector<std::string>>(); });
}

} // namespace lagoonferry
