#pragma once

#include <httplib.h>

#include <array>
#include <chrono>

namespace lagoonferry::standin {

/// Server side of one connection. Unlike cpp-httplib's own stream, it can be dropped in the middle of a response, and
/// it detects that the client has closed the connection while nothing is written. Not thread-safe.
class server_connection final : public httplib::Stream {
public:
    /// Does not own `socket`.
    explicit server_connection(int socket) : m_socket(socket) {}

    /// Waits until data of the next request arrives. Returns false on a timeout or if the
    /// connection has failed.
    bool wait_for_request(std::chrono::milliseconds timeout) const;

    /// Makes all further writes fail, which cuts off the response.
    void drop() { m_dropped = true; }

    bool dropped() const { return m_dropped; }

    bool is_readable() const override;
    /// Returns false once the client has closed the connection.
    bool is_writable() const override;
    ssize_t read(char* data, std::size_t size) override;
    ssize_t write(const char* data, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    int socket() const override { return m_socket; }

private:
    std::size_t buffered() const { return m_end - m_begin; }

    const int m_socket;
    bool m_dropped = false;
    std::array<char, 8192> m_buf{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

} // namespace lagoonferry::standin
