#pragma once

#include "backends/http_connection.h"
#include "settings/endpoint.h"
#include "settings/secret.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace lagoonferry {

/// The response of an entry to a control request.
struct control_response {
    call_end end = call_end::not_sent;
    int status = 0;
    std::string raw_body;
    nlohmann::json body; ///< the parsed body; null if it is not JSON
    std::string reason;  ///< why there is no response

    bool succeeded() const { return end == call_end::answered && status >= 200 && status < 300; }
};

/// Sends requests to the control endpoints of the first entry that can be reached. One thread at a time.
class control_client {
public:
    /// `timeout` applies to the connection and to the response.
    control_client(std::vector<endpoint> entries, secret key, std::chrono::milliseconds timeout);

    /// Sends a GET request to the entries in order until one answers.
    control_response get(const std::string& path) const;

    /// Sends a request that changes state. The next entry is tried only if nothing was sent to the previous one, so the
    /// request is not executed twice.
    control_response send(const std::string& method, const std::string& path, const http_headers& headers,
                          const std::string& body) const;

    /// Sends a GET request to one address.
    control_response get_from(const std::string& address, const std::string& path) const;

private:
    control_response call(const std::string& address, http_request request) const;

    std::vector<endpoint> m_entries;
    secret m_key;
    http_timeouts m_timeouts;
};

} // namespace lagoonferry
