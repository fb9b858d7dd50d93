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

/// HTTP server with fault injection, the base of every stand-in. `POST /faults` adds a fault rule, `DELETE /faults`
/// removes all rules, and `GET /faults` returns the number of active rules. Handlers run on one thread per connection.
class http_server {
public:
    using handler = std::function<void(const httplib::Request&, httplib::Response&, const fault&)>;

    http_server();
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Registers a handler for `method` and paths that match the regular expression `pattern`. Faults are applied
    /// before and after the handler. A JSON exception in the handler results in status 400. Call before `start`.
    void on(const std::string& method, const std::string& pattern, handler handle);

    /// Sets a callback that `stop` runs first, to end long-running handlers. Call before `start`.
    void on_stop(std::function<void()> notify);

    /// Starts to accept connections on `host` and `port` (0: any free port). Returns false if the port cannot be bound.
    bool start(const std::string& host, int port);

    /// Ends all connections and waits for the handlers. Thread-safe.
    void stop();

    /// "<ip>:<port>" once started.
    const std::string& address() const { return m_address; }

    fault_plan& faults() { return m_faults; }

    /// Closes the connection of the calling handler without sending more data. Call only on a handler's thread.
    static void drop_connection();

private:
    void run_handler(const handler& handle, const httplib::Request& request, httplib::Response& response);

    fault_plan m_faults;
    std::unique_ptr<listener> m_listener;
    std::function<void()> m_on_stop;
    std::string m_address;
    std::thread m_thread;
    std::once_flag m_stop_once;
};

/// Sets a JSON response with status 200. Thread-safe.
void respond_json(httplib::Response& response, const nlohmann::json& body);

/// Sets a JSON response `{"error": text}`. Thread-safe.
void respond_error(httplib::Response& response, int status, const std::string& text);

} // namespace lagoonferry::standin
