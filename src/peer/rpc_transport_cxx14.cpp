#include "peer/rpc_transport_cxx14.h"

#include <jsoncpp/json/reader.h>
#include <jsoncpp/json/writer.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>

#include <memory>

namespace lagoonferry {

namespace {

class exchange_connector : public jsonrpc::IClientConnector {
public:
    explicit exchange_connector(const rpc_exchange& exchange) : m_exchange(exchange) {}

    // The base class in libjsonrpccpp 0.7 has this exception specification, and an override must not allow more. The
    // specification is valid only up to C++14.
    // NOLINTNEXTLINE(modernize-use-noexcept)
    void SendRPCMessage(const std::string& message, std::string& result) throw(jsonrpc::JsonRpcException) override
    {
        if (!m_exchange(message, result)) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "no reply was received");
        }
    }

private:
    const rpc_exchange& m_exchange;
};

bool parse_json(const std::string& text, Json::Value& value)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    std::string errors;
    return reader->parse(text.data(), text.data() + text.size(), &value, &errors);
}

} // namespace

rpc_status call_json_rpc(const rpc_exchange& exchange, const std::string& method, const std::string& parameters,
                         std::string& result)
{
    Json::Value input;
    if (!parse_json(parameters, input)) {
        result = "the RPC parameters are not valid JSON";
        return rpc_status::rejected;
    }
    exchange_connector connector(exchange);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        result = Json::writeString(writer, client.CallMethod(method, input));
        return rpc_status::ok;
    }
    catch (const jsonrpc::JsonRpcException& error) {
        result = error.GetMessage();
        return error.GetCode() == jsonrpc::Errors::ERROR_CLIENT_CONNECTOR ? rpc_status::no_reply : rpc_status::rejected;
    }
}

} // namespace lagoonferry
