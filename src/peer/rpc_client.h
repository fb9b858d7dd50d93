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

/// Calls JSON-RPC methods of one other process over a keep-alive HTTP connection. Not thread-safe.
class rpc_client {
public:
    /// `token` is `cluster_key::rpc_token()`. `timeout` applies to connecting, reading and writing, each on its own.
    rpc_client(const network_address& server, std::string token, std::chrono::milliseconds timeout);
    rpc_client(const rpc_client&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;
    ~rpc_client();

    /// Calls a method and returns its result. Returns nothing on a failure, and `last_reason()` describes it. After the
    /// code `target_failed` the method may have been executed.
    std::optional<nlohmann::json> call(const std::string& method, const nlohmann::json& parameters);

    /// The failure of the last call that returned nothing.
    const failure& last_reason() const { return m_last_reason; }

    /// Total size of request and response bodies so far.
    std::size_t body_bytes() const { return m_body_bytes; }

private:
    bool exchange(const std::string& request, std::string& response);

    std::unique_ptr<httplib::Client> m_http;
    std::string m_token;
    failure m_last_reason;
    std::size_t m_body_bytes = 0;
};

} // namespace lagoonferry
