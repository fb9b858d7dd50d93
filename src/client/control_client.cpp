#include "client/control_client.h"

namespace lagoonferry {

control_client::control_client(std::vector<endpoint> entries, secret key, std::chrono::milliseconds timeout)
    : m_entries(std::move(entries)), m_key(std::move(key)), m_timeouts(http_timeouts::all(timeout))
{
}

control_response control_client::get(const std::string& path) const
{
    control_response response;
    for (const endpoint& entry : m_entries) {
        response = get_from(to_string(entry), path);
        if (response.end == call_end::answered) {
            break;
        }
    }
    return response;
}

control_response control_client::send(const std::string& method, const std::string& path, const http_headers& headers,
                                      const std::string& body) const
{
    control_response response;
    for (const endpoint& entry : m_entries) {
        response = call(to_string(entry), {method, path, headers, body});
        if (response.end != call_end::not_sent) {
            break;
        }
    }
    return response;
}

control_response control_client::get_from(const std::string& address, const std::string& path) const
{
    return call(address, {"GET", path, {}, {}});
}

control_response control_client::call(const std::string& address, http_request request) const
{
    request.headers.emplace_back("Authorization", "Bearer " + m_key.reveal());
    if (!request.body.empty()) {
        request.headers.emplace_back("Content-Type", "application/json");
    }
    http_connection connection(address);
    const http_response response = connection.send(request, m_timeouts);
    control_response result{response.end, response.status, response.body, nullptr, response.reason};
    const auto parsed = nlohmann::json::parse(response.body, nullptr, false);
    if (!parsed.is_discarded()) {
        result.body = parsed;
    }
    return result;
}

} // namespace lagoonferry
