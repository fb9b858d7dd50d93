#pragma once

#include <functional>
#include <string>

namespace lagoonferry {

/// Sends one JSON-RPC request text and stores the response text. Returns false if no response arrived.
using rpc_exchange = std::function<bool(const std::string& request, std::string& response)>;

enum class rpc_status { ok, refused, no_response };

/// Calls `method` with the parameters given as JSON text, through libjsonrpccpp's client.
/// `result` receives the result as JSON text, or the error text. Thread-safe if `exchange` is.
rpc_status call_json_rpc(const rpc_exchange& exchange, const std::string& method, const std::string& parameters,
                         std::string& result);

} // namespace lagoonferry
