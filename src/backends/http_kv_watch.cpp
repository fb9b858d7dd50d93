#include "backends/http_kv_watch.h"

#include "backends/call_counts.h"
#include "backends/http_connection.h"
#include "backends/json_response.h"

namespace lagoonferry {

namespace {

kv_changes read_changes(const nlohmann::json& body)
{
    kv_changes out{body.at("position").get<std::uint64_t>(), {}};
    for (const auto& it : body.at("changes")) {
        out.changes.push_back(
            {it.at("key").get<std::string>(), it.at("version").get<std::uint64_t>(), it.at("erased").get<bool>()});
    }
    return out;
}

} // namespace

http_kv_watch::http_kv_watch(const std::string& address, std::chrono::milliseconds timeout, call_counts& counts)
    : m_connection(std::make_unique<http_connection>(address)), m_timeout(timeout), m_counts(counts)
{
}

http_kv_watch::~http_kv_watch() = default;

std::optional<kv_changes> http_kv_watch::wait(std::string_view prefix, std::uint64_t after,
                                              std::chrono::milliseconds timeout)
{
    const http_request request{"GET",
                               "/watch?prefix=" + percent_encode(prefix) + "&after=" + std::to_string(after) +
                                   "&timeout_ms=" + std::to_string(timeout.count()),
                               {},
                               {}};
    const auto response_timeout = timeout + m_timeout;
    const http_response response = m_connection->send(request, {m_timeout, response_timeout, response_timeout});
    m_counts.add(call_kind::kv_watch, response.end);
    return read_json_response(response, m_failure, read_changes);
}

void http_kv_watch::interrupt()
{
    m_connection->interrupt();
}

} // namespace lagoonferry
