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

/// Upper bounds for the parts of one call. A call lasts at most `connect` + `total`, and a peer that sends its reply
/// header in small pieces can exceed that by `idle` for each piece.
struct http_timeouts {
    std::chrono::milliseconds connect{};
    std::chrono::milliseconds idle{}; ///< longest wait for the next bytes
    std::chrono::milliseconds total{};

    /// The same bound for each part.
    static http_timeouts all(std::chrono::milliseconds timeout) { return {timeout, timeout, timeout}; }
};

/// The reply of one call. `status` is 0 until a status line arrived; it can be set in an incomplete reply.
struct http_response {
    call_end end = call_end::not_sent;
    int status = 0;
    http_headers headers;
    std::string body;
    std::string reason; ///< why the call has no complete reply

    /// Returns the value of the first header with this name in any letter case, or an empty text.
    std::string_view header(std::string_view name) const;
};

/// One kept-alive HTTP connection. It reconnects when the peer has closed it and never repeats a call.
/// One thread at a time, except for `interrupt`.
class http_connection {
public:
    /// Receives a piece of the body of a reply with status 200; returning false ends the call.
    using body_receiver = std::function<bool(std::string_view piece)>;

    /// `address` is "<ip>:<port>". A malformed address fails every call as `not_sent`.
    explicit http_connection(const std::string& address);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    const std::string& address() const { return m_address; }

    /// Sends one request and waits for its reply. With a `receiver`, the body of a reply with status 200 goes there
    /// instead of into the reply.
    http_response send(const http_request& request, const http_timeouts& timeouts, const body_receiver& receiver = {});

    /// Ends the running call and makes all later ones fail. Thread-safe.
    void interrupt();

    bool interrupted() const { return m_interrupted; }

    /// Returns whether the last call has left the connection in a state for another one.
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
