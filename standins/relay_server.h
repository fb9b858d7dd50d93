#pragma once

#include "http_server.h"
#include "tcp_relay.h"

#include <string>

namespace lagoonferry::standin {

/// A TCP relay that is controlled over HTTP: `POST /mode {mode: "pass"|"refuse"|"drop"|"delay", delay_ms}` and
/// `GET /stats`. Thread-safe.
class relay_server {
public:
    /// `target` is "<ip>:<port>".
    explicit relay_server(const std::string& target);

    /// Starts to relay on `host` and a free port.
    bool start(const std::string& host) { return m_relay.start(host); }

    /// Where connections to the target are accepted.
    const std::string& address() const { return m_relay.address(); }

    /// The server that controls the relay.
    http_server& http() { return m_http; }

private:
    tcp_relay m_relay;
    http_server m_http; ///< last, so that its handlers end before the relay
};

} // namespace lagoonferry::standin
