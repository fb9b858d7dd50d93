#pragma once

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>

namespace httplib {
class Server;
}

namespace lagoonferry {

/// Serves JSON-RPC methods at `POST /rpc` of an HTTP server. libjsonrpccpp implements the protocol.
class rpc_server {
public:
    /// Handles one call. A std::invalid_argument or nlohmann::json::exception that it throws becomes the JSON-RPC error
    /// "invalid params".
    using method = std::function<nlohmann::json(const nlohmann::json& parameters)>;

    /// `token` is the bearer token that every request must carry; other requests get 401.
    explicit rpc_server(std::string token);
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;
    ~rpc_server();

    /// Adds a method. Precondition: `attach` has not been called. `handler` must be thread-safe.
    void add(const std::string& name, method handler);

    /// Registers the route with an HTTP server, which must not outlive this object. Precondition: the server is not
    /// running.
    void attach(httplib::Server& server);

private:
    class protocol;
    std::unique_ptr<protocol> m_protocol;
    std::string m_token;
};

} // namespace lagoonferry
