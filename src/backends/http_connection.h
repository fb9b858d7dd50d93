#pragma once

#include "backends/call_counts.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace httplib {
class Client;
} // namespace httplib

namespace lagoonferry {

using http_headers = std::vector<std::pair<std::string, std::string>>;

/// One HTTP request; `path` is percent-encoded.
struct http_request {
    std::string method;
    std::string path;
    http_headers headers;
    std::string body;
};

/// Timeouts of one call. A call lasts at most `connect` + `total`, except that a peer that sends its response header in
/// small pieces can add `idle` for each piece.
struct http_timeouts {
    std::chrono::milliseconds connect{};
    std::chrono::milliseconds idle{}; ///< maximum wait for the next bytes
    std::chrono::milliseconds total{};

    /// Returns the same timeout for all parts.
    static http_timeouts all(std::chrono::milliseconds timeout) { return {timeout, timeout, timeout}; }
};

/// The response of one call. `status` is 0 until a status line has arrived; an incomplete response can have a status.
struct http_response {
    call_end end = call_end::not_sent;
    int status = 0;
    http_headers headers;
    std::string body;
    std::string reason; ///< why there is no complete response

    /// Returns the value of the first header with this name, ignoring case, or an empty string.
    std::string_view header(std::string_view name) const;
};

/// A keep-alive HTTP connection. It reconnects when the peer has closed the connection, and never retries a call.
/// One thread at a time, except for `interrupt`.
class http_connection {
public:
    /// Receives a chunk of the body of a response with status 200. Returning false ends the call.
    using body_receiver = std::function<bool(std::string_view chunk)>;

    /// `address` is "<ip>:<port>". With a malformed address, every call ends as `not_sent`.
    explicit http_connection(const std::string& address);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    const std::string& address() const { return m_address; }

    /// Sends one request and waits for its response. With a `receiver`, the body of a response with status 200 is
    /// passed to it and not stored in the response.
    http_response send(const http_request& request, const http_timeouts& timeouts, const body_receiver& receiver = {});

    /// Ends the running call and makes all later calls fail. Thread-safe.
    void interrupt();

    bool interrupted() const { return m_interrupted; }

    /// Returns whether the connection can be used for another call.
    bool reusable() const { return m_reusable && !m_interrupted; }

private:
    std::string m_address;
    std::unique_ptr<httplib::Client> m_client;
    std::atomic<bool> m_interrupted = false;
    bool m_reusable = true;
};

/// Encodes every byte that is not an unreserved character or a slash, for use in a path or query. Thread-safe.
std::string percent_encode(std::string_view text);

} // namespace lagoonferry
