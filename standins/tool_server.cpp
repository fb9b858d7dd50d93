#include "tool_server.h"

#include <httplib.h>

namespace lagoonferry::standin {

tool_server::tool_server(const delay_map& delays) : m_serve_any_name(delays.empty())
{
    for (const auto& [name, delay] : delays) {
        m_tools[name].delay = delay;
    }
    m_http.on("POST", "/call/(.+)", [this](const httplib::Request& req, httplib::Response& res, const fault& effect) {
        call(req, res, effect);
    });
    m_http.on("POST", "/tools",
              [this](const httplib::Request& req, httplib::Response& res, const fault&) { define(req, res); });
    m_http.on("GET", "/executions",
              [this](const httplib::Request&, httplib::Response& res, const fault&) { executions(res); });
}

void tool_server::define(const httplib::Request& req, httplib::Response& res)
{
    const auto body = nlohmann::json::parse(req.body);
    const std::lock_guard lock(m_mutex);
    m_tools[body.at("name").get<std::string>()] = {std::chrono::milliseconds(body.value("delay_ms", 0)),
                                                   body.value("result", nlohmann::json())};
    respond_json(res, nlohmann::json::object());
}

void tool_server::call(const httplib::Request& req, httplib::Response& res, const fault& effect)
{
    const std::string name = req.matches[1].str();
    const std::string call_id = req.get_header_value("X-Call-Id");
    const nlohmann::json arguments = req.body.empty() ? nlohmann::json() : nlohmann::json::parse(req.body);
    tool found;
    std::uint64_t execution = 0;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_tools.find(name);
        if (it == m_tools.end() && !m_serve_any_name) {
            respond_error(res, 404, "unknown tool");
            return;
        }
        if (!m_fencing.admit(read_fencing_token(req), effect)) {
            respond_error(res, 409, "stale fencing token");
            return;
        }
        found = it == m_tools.end() ? tool{} : it->second;
        execution = ++m_by_call[call_id];
        ++m_by_tool[name];
        if (req.has_header("Idempotency-Key")) {
            ++m_by_key[req.get_header_value("Idempotency-Key")];
        }
    }
    m_http.faults().wait_for(found.delay);
    respond_json(res, {{"tool", name},
                       {"call_id", call_id},
                       {"execution", execution},
                       {"result", found.result.is_null() ? arguments : found.result}});
}

void tool_server::executions(httplib::Response& res)
{
    const std::lock_guard lock(m_mutex);
    respond_json(res, {{"by_call", m_by_call}, {"by_key", m_by_key}, {"by_tool", m_by_tool}});
}

} // namespace lagoonferry::standin
