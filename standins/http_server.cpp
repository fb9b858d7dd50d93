#include "http_server.h"

#include "listener.h"

#include <nlohmann/json.hpp>

#include <sys/socket.h>

namespace lagoonferry::standin {

http_server::http_server() : m_listener(std::make_unique<listener>())
{
    m_listener->Post("/faults", [this](const httplib::Request& request, httplib::Response& response) {
        try {
            m_faults.add(nlohmann::json::parse(request.body));
            respond_json(response, nlohmann::json::object());
        }
        catch (const std::exception& error) {
            respond_error(response, 400, error.what());
        }
    });
    m_listener->Get("/faults", [this](const httplib::Request&, httplib::Response& response) {
        respond_json(response, {{"rules", m_faults.size()}});
    });
    m_listener->Delete("/faults",
                       [this](const httplib::Request&, httplib::Response& response, const httplib::ContentReader&) {
                           m_faults.clear();
                           respond_json(response, nlohmann::json::object());
                       });
}

http_server::~http_server()
{
    stop();
}

void http_server::on(const std::string& method, const std::string& pattern, handler handle)
{
    const auto serve = [this, handle = std::move(handle)](const httplib::Request& request,
                                                          httplib::Response& response) {
        run_handler(handle, request, response);
    };
    if (method == "GET") {
        m_listener->Get(pattern, serve);
    }
    else if (method == "POST") {
        m_listener->Post(pattern, serve);
    }
    else if (method == "PUT") {
        m_listener->Put(pattern, serve);
    }
    else if (method == "DELETE") {
        // Without a content reader, cpp-httplib waits for a body that clients do not send.
        m_listener->Delete(pattern, [serve](const httplib::Request& request, httplib::Response& response,
                                            const httplib::ContentReader&) { serve(request, response); });
    }
}

void http_server::on_stop(std::function<void()> notify)
{
    m_on_stop = std::move(notify);
}

bool http_server::start(const std::string& host, int port)
{
    const int bound =
        port == 0 ? m_listener->bind_to_any_port(host) : (m_listener->bind_to_port(host, port) ? port : -1);
    if (bound < 0) {
        return false;
    }
    m_listener->raise_backlog();
    m_address = host + ":" + std::to_string(bound);
    m_thread = std::thread([this] { m_listener->listen_after_bind(); });
    m_listener->wait_until_running();
    return true;
}

void http_server::stop()
{
    std::call_once(m_stop_once, [this] {
        m_faults.stop();
        if (m_on_stop) {
            m_on_stop();
        }
        m_listener->stop();
        m_listener->close_connections();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    });
}

void http_server::drop_connection()
{
    listener::drop_current_connection();
}

void http_server::run_handler(const handler& handle, const httplib::Request& request, httplib::Response& response)
{
    const fault effect = m_faults.take(request.method, request.path);
    m_faults.wait_for(effect.slow);
    if (effect.outage) {
        respond_error(response, 503, "outage");
        return;
    }
    if (!effect.hang || effect.lose_reply) {
        try {
            handle(request, response, effect);
        }
        catch (const nlohmann::json::exception& error) {
            respond_error(response, 400, error.what());
        }
    }
    if (effect.hang) {
        m_faults.wait_until_cleared();
    }
    if (effect.hang || effect.lose_reply) {
        drop_connection();
    }
}

void respond_json(httplib::Response& response, const nlohmann::json& body)
{
    response.status = 200;
    response.set_content(body.dump(), "application/json");
}

void respond_error(httplib::Response& response, int status, const std::string& text)
{
    response.status = status;
    response.set_content(nlohmann::json{{"error", text}}.dump(), "application/json");
}

} // namespace lagoonferry::standin
