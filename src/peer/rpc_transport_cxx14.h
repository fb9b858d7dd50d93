#pragma once

#include <functional>
#include <string>

namespace lagoonferry {

/// Sends one JSON-RPC request and stores the reply, both as JSON. Returns false if no reply was received.
using rpc_exchange = std::function<bool(const std::string& request, std::string& reply)>;

/// `rejected`: the reply is a JSON-RPC error, or the parameters are not valid JSON.
enum class rpc_status { ok, rejected, no_reply };

/// Calls `method` through libjsonrpccpp's client; `parameters` are JSON. `result` receives the result as JSON, or an
/// error message. Thread-safe if `exchange` is.
rpc_status call_json_rpc(const rpc_exchange& exchange, const std::string& method, const std::string& parameters,
                         std::string& result);

} // namespace lagoonferry
