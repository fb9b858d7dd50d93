#pragma once

#include <httplib.h>

#include <mutex>
#include <set>

namespace lagoonferry::standin {

/// cpp-httplib's server with connections that a handler can drop, and that end at once on `close_connections`.
class listener final : public httplib::Server {
public:
    listener();

    /// Raises the backlog of 5 that cpp-httplib uses. Call between binding and listening.
    void raise_backlog() const;

    /// Waits until the listening thread accepts connections; `stop` has no effect before. Call after its start.
    void wait_until_running() const;

    /// Ends all present and later connections. Thread-safe.
    void close_connections();

    /// Closes the connection that the calling thread serves without a further byte.
    static void drop_current_connection();

private:
    bool process_and_close_socket(int socket) override;
    bool add_connection(int socket);
    void remove_connection(int socket);

    std::mutex m_mutex;
    std::set<int> m_connections;
    bool m_closed = false;
};

} // namespace lagoonferry::standin
