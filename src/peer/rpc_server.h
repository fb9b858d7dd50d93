#pragma once

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>

namespace httplib {
class Server;
}

namespace lagoonferry {

/// Serves JSON-RPC methods at `POST /rpc` of an HTTP server, with libjsonrpccpp as the protocol handler.
class rpc_server {
public:
    /// Handles one call; an exception of type std::invalid_argument becomes a JSON-RPC error.
    using method = std::function<nlohmann::json(const nlohmann::json& parameters)>;

    /// `token` is the bearer token that callers of the methods must present.
    explicit rpc_server(std::string token);
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;
    ~rpc_server();

    /// Adds a method. Precondition: `attach` has not been called. Handlers must be thread-safe.
    void add(const std::string& name, method handler);

    /// Registers the route. Precondition: the HTTP server is not running; it must not outlive this object.
    void attach(httplib::Server& server);

private:
    class protocol;
    std::unique_ptr<protocol> m_protocol;
    std::string m_token;
};

} // namespace lagoonferry
