#pragma once

#include "fault_plan.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace httplib {
struct Request;
struct Response;
} // namespace httplib

namespace lagoonferry::standin {

class listener;

/// HTTP server with the fault interface that every stand-in shares: `POST /faults` adds a rule, `DELETE /faults`
/// removes all rules, `GET /faults` answers how many still apply. Handlers run on one thread for each connection.
class http_server {
public:
    using handler = std::function<void(const httplib::Request&, httplib::Response&, const fault&)>;

    http_server();
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Serves `method` on paths that match the regular expression `pattern`, with the faults applied before and after
    /// the handler. A JSON exception in the handler is answered 400. Call before `start`.
    void on(const std::string& method, const std::string& pattern, handler handle);

    /// Sets what `stop` calls first, to end long-running handlers. Call before `start`.
    void on_stop(std::function<void()> notify);

    /// Accepts connections on `host` and `port` (0: any free port) when it returns true.
    bool start(const std::string& host, int port);

    /// Ends all connections and waits for the handlers. Thread-safe.
    void stop();

    /// "<ip>:<port>" once started.
    const std::string& address() const { return m_address; }

    fault_plan& faults() { return m_faults; }

    /// Closes the connection of the calling handler without a further byte. Call from a handler's thread only.
    static void drop_connection();

private:
    void run(const handler& handle, const httplib::Request& request, httplib::Response& response);

    fault_plan m_faults;
    std::unique_ptr<listener> m_listener;
    std::function<void()> m_on_stop;
    std::string m_address;
    std::thread m_thread;
    std::once_flag m_stop_once;
};

/// Sets a JSON answer with status 200. Thread-safe.
void respond_json(httplib::Response& response, const nlohmann::json& body);

/// Sets an answer `{"error": text}`. Thread-safe.
void respond_error(httplib::Response& response, int status, const std::string& text);

} // namespace lagoonferry::standin
