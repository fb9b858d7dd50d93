#pragma once

#include "backends/http_connection.h"
#include "settings/endpoint.h"
#include "settings/secret.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace lagoonferry {

/// The answer of an entry. `body` is null when the text is not JSON.
struct control_response {
    call_end end = call_end::not_sent;
    int status = 0;
    std::string text;
    nlohmann::json body;
    std::string reason; ///< why there is no answer

    bool done() const { return end == call_end::answered && status >= 200 && status < 300; }
};

/// Talks to the control endpoints of the first entry that can be reached. One thread at a time.
class control_client {
public:
    control_client(std::vector<endpoint> entries, secret key, std::chrono::milliseconds timeout);

    /// Reads from the first entry that answers.
    control_response get(const std::string& path) const;

    /// Sends a request that changes something. Another entry is tried only while nothing was sent.
    control_response send(const std::string& method, const std::string& path, const http_headers& headers,
                          const std::string& body) const;

    /// Reads from one given address.
    control_response get_from(const std::string& address, const std::string& path) const;

private:
    control_response call(const std::string& address, http_request request) const;

    std::vector<endpoint> m_entries;
    secret m_key;
    http_timeouts m_timeouts;
};

} // namespace lagoonferry
