#include "peer/rpc_server.h"

#include "util/digest.h"

#include <httplib.h>
#include <jsoncpp/json/reader.h>
#include <jsoncpp/json/writer.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <nlohmann/json.hpp>

#include <map>
#include <stdexcept>

namespace lagoonferry {

namespace {

nlohmann::json to_nlohmann(const Json::Value& value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return nlohmann::json::parse(Json::writeString(writer, value));
}

Json::Value to_jsoncpp(const nlohmann::json& value)
{
    const std::string text = value.dump();
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value out;
    std::string errors;
    reader->parse(text.data(), text.data() + text.size(), &out, &errors);
    return out;
}

} // namespace

/// Passes calls from libjsonrpccpp's protocol handler to the handler registered under the method's name.
class rpc_server::protocol : public jsonrpc::IProcedureInvokationHandler {
public:
    protocol() : m_handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this)) {}

    void add(const std::string& name, method handler)
    {
        m_handler->AddProcedure(
            jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, static_cast<const char*>(nullptr)));
        m_methods[name] = std::move(handler);
    }

    void HandleMethodCall(jsonrpc::Procedure& proc, const Json::Value& input, Json::Value& output) override
    {
        try {
            output = to_jsoncpp(m_methods.at(proc.GetProcedureName())(to_nlohmann(input)));
        }
        catch (const std::invalid_argument& error) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, error.what());
        }
        catch (const nlohmann::json::exception& error) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, error.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure& /*proc*/, const Json::Value& /*input*/) override {}

    std::string handle(const std::string& request)
    {
        std::string response;
        m_handler->HandleRequest(request, response);
        return response;
    }

private:
    std::map<std::string, method> m_methods;
    std::unique_ptr<jsonrpc::IProtocolHandler> m_handler;
};

rpc_server::rpc_server(std::string token) : m_protocol(std::make_unique<protocol>()), m_token(std::move(token)) {}

rpc_server::~rpc_server() = default;

void rpc_server::add(const std::string& name, method handler)
{
    m_protocol->add(name, std::move(handler));
}

void rpc_server::attach(httplib::Server& server)
{
    server.Post("/rpc", [this](const httplib::Request& request, httplib::Response& response) {
        if (!equal_constant_time(request.get_header_value("Authorization"), "Bearer " + m_token)) {
            response.status = 401;
            return;
        }
        response.set_content(m_protocol->handle(request.body), "application/json");
    });
}

} // namespace lagoonferry
