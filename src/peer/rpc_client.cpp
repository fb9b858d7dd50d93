#include "peer/rpc_client.h"

#include "peer/rpc_transport_cxx14.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace lagoonferry {

rpc_client::rpc_client(const network_address& server, std::string token, std::chrono::milliseconds timeout)
    : m_http(std::make_unique<httplib::Client>(server.host, server.port)), m_token(std::move(token))
{
    m_http->set_keep_alive(true);
    m_http->set_tcp_nodelay(true);
    m_http->set_connection_timeout(timeout);
    m_http->set_read_timeout(timeout);
    m_http->set_write_timeout(timeout);
}

rpc_client::~rpc_client() = default;

bool rpc_client::exchange(const std::string& request, std::string& response)
{
    const httplib::Headers headers{{"Authorization", "Bearer " + m_token}};
    const auto http_response = m_http->Post("/rpc", headers, request, "application/json");
    m_body_bytes += request.size();
    if (!http_response || http_response->status != 200) {
        return false;
    }
    m_body_bytes += http_response->body.size();
    response = http_response->body;
    return true;
}

std::optional<nlohmann::json> rpc_client::call(const std::string& method, const nlohmann::json& parameters)
{
    const rpc_exchange send = [this](const std::string& request, std::string& response) {
        return exchange(request, response);
    };
    std::string text;
    const rpc_status status = call_json_rpc(send, method, parameters.dump(), text);
    if (status != rpc_status::ok) {
        m_last_reason = {status == rpc_status::rejected ? result_code::malformed : result_code::target_failed, text};
        return std::nullopt;
    }
    nlohmann::json result = nlohmann::json::parse(text, nullptr, false);
    if (result.is_discarded()) {
        m_last_reason = {result_code::target_failed, "the RPC reply is not valid JSON"};
        return std::nullopt;
    }
    return result;
}

} // namespace lagoonferry
