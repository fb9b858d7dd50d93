#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace lagoonferry::test {

/// A TCP connection of a caller that violates HTTP. Not thread-safe.
class raw_connection {
public:
    /// `address` is "<ip>:<port>".
    explicit raw_connection(const std::string& address);
    ~raw_connection();
    raw_connection(raw_connection&& other) noexcept;
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    raw_connection& operator=(raw_connection&&) = delete;

    /// Sends as much as the socket accepts without blocking. Returns false if the connection is closed.
    bool send(std::string_view text);

    /// Waits until the peer closes the connection, for at most `timeout`. Returns whether it has. Received data is
    /// added to `received`.
    bool closed_within(std::chrono::milliseconds timeout);

    /// Returns the data that `closed_within` has received so far.
    const std::string& received() const { return m_received; }

private:
    int m_socket = -1;
    bool m_closed = false;
    std::string m_received;
};

} // namespace lagoonferry::test
