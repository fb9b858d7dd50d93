#pragma once

#include "util/time.h"

#include <httplib.h>

#include <array>
#include <cstddef>

namespace lagoonferry {

/// How a sender may deliver one request.
struct request_limits {
    std::size_t max_header_bytes = std::size_t{64} * 1024;
    timestamp read_timeout{std::chrono::seconds{10}};
    timestamp request_timeout{std::chrono::seconds{30}}; ///< from the first byte of the header to the last of the body
};

/// The server's side of one connection. Unlike cpp-httplib's own stream it bounds the header and the time of a whole
/// request: cpp-httplib keeps a header line of any length in memory, and bounds only the pauses of a sender. One
/// thread at a time.
class request_stream final : public httplib::Stream {
public:
    /// Does not own `socket`, which is in blocking mode.
    request_stream(int socket, const request_limits& limits) : m_socket(socket), m_limits(limits) {}

    /// Waits until a request arrives. Returns false after `wait` or on an error.
    bool wait_for_request(std::chrono::milliseconds wait) const;

    /// Starts the limits of the next request.
    void begin_request();

    bool is_readable() const override;
    /// Returns false once the caller has closed the connection.
    bool is_writable() const override;
    ssize_t read(char* data, std::size_t size) override;
    ssize_t write(const char* data, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    int socket() const override { return m_socket; }

private:
    std::size_t buffered() const { return m_end - m_begin; }
    std::chrono::milliseconds time_left() const;
    bool count_header(const char* data, std::size_t size);

    const int m_socket;
    const request_limits m_limits;
    timestamp m_deadline{0};
    std::size_t m_header_bytes = 0;
    std::size_t m_matched = 0; ///< bytes of the end of the header seen last; all of them once it has ended
    std::array<char, 8192> m_buf{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

} // namespace lagoonferry
