#include "instances_server.h"

#include <httplib.h>

#include <algorithm>

namespace lagoonferry::standin {

instances_server::instances_server(std::chrono::milliseconds lag) : m_lag(lag)
{
    m_published.set(steady_now(), {});
    m_http.on("GET", "/instances", [this](const httplib::Request&, httplib::Response& res, const fault& effect) {
        respond_list(res, effect);
    });
    m_http.on("PUT", "/instances/(.+)", [this](const httplib::Request& req, httplib::Response& res, const fault&) {
        put(req.matches[1].str(), nlohmann::json::parse(req.body));
        respond_json(res, nlohmann::json::object());
    });
    m_http.on("DELETE", "/instances/(.+)", [this](const httplib::Request& req, httplib::Response& res, const fault&) {
        remove(req.matches[1].str());
        respond_json(res, nlohmann::json::object());
    });
}

void instances_server::put(const std::string& id, const nlohmann::json& body)
{
    const nlohmann::json entry{{"id", id},
                               {"kind", body.at("kind")},
                               {"address", body.at("address")},
                               {"failure_domain", body.at("failure_domain")},
                               {"state", body.value("state", "live")}};
    const std::lock_guard lock(m_mutex);
    m_entries[id] = entry;
    publish();
}

void instances_server::remove(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    m_entries.erase(id);
    publish();
}

void instances_server::publish()
{
    if (!m_http.faults().global_fault().lose_reports) {
        m_published.set(steady_now(), m_entries);
    }
}

void instances_server::respond_list(httplib::Response& res, const fault& effect)
{
    nlohmann::json list = nlohmann::json::array();
    const std::lock_guard lock(m_mutex);
    const entry_map& entries = m_published.at(steady_now() - std::max(m_lag, effect.lag));
    std::ranges::for_each(entries, [&](const auto& it) { list.push_back(it.second); });
    respond_json(res, list);
}

} // namespace lagoonferry::standin
