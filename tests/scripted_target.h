#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace lagoonferry::test {

/// One connection to a scripted target.
class target_connection {
public:
    explicit target_connection(int socket) : m_socket(socket) {}

    /// Sends raw bytes. Returns false once the gateway has closed the connection.
    bool send(std::string_view bytes);

    /// Reads the next request with its body. Returns an empty string at the end of the connection.
    std::string read_request();

    /// Returns whether the gateway closes the connection within `wait_ms`.
    bool closed_within(int wait_ms);

    /// Closes the connection with a TCP reset.
    void reset();

private:
    int m_socket;
    std::string m_pending;
};

/// A target that runs a script for each connection, on a thread of its own. The script gets the number of the
/// connection, starting at 0.
class scripted_target {
public:
    using script = std::function<void(target_connection& connection, int number)>;

    explicit scripted_target(script answer);
    ~scripted_target();
    scripted_target(const scripted_target&) = delete;
    scripted_target& operator=(const scripted_target&) = delete;

    /// Returns "IP:PORT".
    const std::string& address() const { return m_address; }

    /// Returns all requests that arrived, in order.
    std::vector<std::string> requests() const;

    /// Returns the number of connections so far.
    int connections() const { return m_connections; }

    /// Adds a request to `requests`. Scripts call this for each request that they read.
    void record_request(const std::string& request);

private:
    void accept_all();

    script m_script;
    int m_listener = -1;
    std::string m_address;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_workers;
    std::thread m_acceptor;
    std::atomic<int> m_connections = 0;
    std::atomic<bool> m_stopping = false;
};

/// Returns the value of a header field of a request or response, or an empty string.
std::string header_value(const std::string& request, std::string_view name);

} // namespace lagoonferry::test
