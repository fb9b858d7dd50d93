#include "relay_server.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace lagoonferry::standin {

namespace {

constexpr std::array modes{std::pair("pass", relay_mode::pass), std::pair("refuse", relay_mode::refuse),
                           std::pair("drop", relay_mode::drop), std::pair("delay", relay_mode::delay)};

} // namespace

relay_server::relay_server(const std::string& target) : m_relay(target)
{
    m_http.on("POST", "/mode", [this](const httplib::Request& req, httplib::Response& res, const fault&) {
        const auto body = nlohmann::json::parse(req.body);
        const std::string name = body.at("mode");
        const auto mode = std::ranges::find_if(modes, [&](const auto& it) { return name == it.first; });
        if (mode == modes.end()) {
            respond_error(res, 400, "unknown mode \"" + name + "\"");
            return;
        }
        m_relay.set_mode(mode->second, std::chrono::milliseconds(body.value("delay_ms", 0)));
        respond_json(res, nlohmann::json::object());
    });
    m_http.on("GET", "/stats", [this](const httplib::Request&, httplib::Response& res, const fault&) {
        respond_json(res, {{"accepted", m_relay.accepted()}});
    });
}

} // namespace lagoonferry::standin
