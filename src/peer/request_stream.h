#pragma once

#include "util/time.h"

#include <httplib.h>

#include <array>
#include <cstddef>

namespace lagoonferry {

/// Limits on the size and the time in which a sender delivers one request.
struct request_limits {
    std::size_t max_header_bytes = std::size_t{64} * 1024;
    timestamp read_timeout{std::chrono::seconds{10}};    ///< time without a received byte
    timestamp request_timeout{std::chrono::seconds{30}}; ///< from the start of the header to the end of the body
};

/// The server's side of one connection, with limits on the size of a header and on the time of a whole request.
/// cpp-httplib's own stream has neither: it buffers header lines of any length, and limits only the time between two
/// reads. Not thread-safe.
class request_stream final : public httplib::Stream {
public:
    /// `socket` must be in blocking mode; the stream does not close it.
    request_stream(int socket, const request_limits& limits) : m_socket(socket), m_limits(limits) {}

    /// Waits for the first bytes of a request. Returns false after `timeout` or on an error.
    bool wait_for_request(std::chrono::milliseconds timeout) const;

    /// Resets the size and time limits for the next request.
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
    bool check_header_size(const char* data, std::size_t size);

    const int m_socket;
    const request_limits m_limits;
    timestamp m_deadline{0};
    std::size_t m_header_bytes = 0;
    std::size_t m_terminator_matched = 0; ///< matched bytes of the header terminator; all of them after the header
    std::array<char, 8192> m_buf{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

} // namespace lagoonferry
