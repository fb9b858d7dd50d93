#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace lagoonferry::test {

/// A TCP connection of a caller that does not keep to HTTP. One thread at a time.
class raw_connection {
public:
    /// `address` is "<ip>:<port>".
    explicit raw_connection(const std::string& address);
    ~raw_connection();
    raw_connection(raw_connection&& other) noexcept;
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    raw_connection& operator=(raw_connection&&) = delete;

    /// Sends what the socket takes without waiting. Returns false once the connection has ended.
    bool send(std::string_view text);

    /// Returns whether the other side has closed the connection, after at most `wait`; data before it is kept.
    bool closed_within(std::chrono::milliseconds wait);

    /// What the other side has sent until now.
    const std::string& received() const { return m_received; }

private:
    int m_socket = -1;
    bool m_closed = false;
    std::string m_received;
};

} // namespace lagoonferry::test
