#pragma once

#include "http_server.h"
#include "tcp_relay.h"

#include <string>

namespace lagoonferry::standin {

/// A TCP relay with an HTTP control interface: `POST /mode {mode: "pass"|"refuse"|"drop"|"delay", delay_ms}` and
/// `GET /stats`. Thread-safe.
class relay_server {
public:
    /// `target` is "<ip>:<port>".
    explicit relay_server(const std::string& target);

    /// Starts the relay on `host` and a free port. Returns false if it cannot listen.
    bool start(const std::string& host) { return m_relay.start(host); }

    /// Address at which the relay accepts connections to the target.
    const std::string& address() const { return m_relay.address(); }

    /// Server of the control interface.
    http_server& http() { return m_http; }

private:
    tcp_relay m_relay;
    http_server m_http; ///< last member: its handlers end before the relay is destroyed
};

} // namespace lagoonferry::standin
