#pragma once

#include "peer/network_address.h"
#include "util/failure.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace httplib {
class Client;
}

namespace lagoonferry {

/// JSON-RPC calls to one other process over a kept-alive HTTP connection. One thread at a time.
class rpc_client {
public:
    /// `token` is the bearer token of the cluster key.
    rpc_client(const network_address& server, std::string token, std::chrono::milliseconds timeout);
    rpc_client(const rpc_client&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;
    ~rpc_client();

    /// Calls a method and returns its result, or nothing with the reason in `last_reason()`.
    /// After a failure with the code `target_failed` the call may have run.
    std::optional<nlohmann::json> call(const std::string& method, const nlohmann::json& parameters);

    /// Why the last call returned nothing.
    const failure& last_reason() const { return m_last_reason; }

    /// Bytes of request and response bodies so far.
    std::size_t body_bytes() const { return m_body_bytes; }

private:
    bool exchange(const std::string& request, std::string& response);

    std::unique_ptr<httplib::Client> m_http;
    std::string m_token;
    failure m_last_reason;
    std::size_t m_body_bytes = 0;
};

} // namespace lagoonferry
