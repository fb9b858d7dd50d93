#pragma once

#include <httplib.h>

#include <mutex>
#include <set>

namespace lagoonferry::standin {

/// cpp-httplib server whose handlers can drop their connection, and whose connections can all be closed at once.
class listener final : public httplib::Server {
public:
    listener();

    /// Raises the listen backlog, which cpp-httplib sets to 5. Call between binding and listening.
    void raise_backlog() const;

    /// Waits until the listening thread accepts connections. Before that, `stop` has no effect. Call after starting the
    /// thread.
    void wait_until_running() const;

    /// Closes all current and future connections. Thread-safe.
    void close_connections();

    /// Closes the connection that the calling thread serves without sending more data.
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
