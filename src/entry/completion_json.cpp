#include "entry/completion_json.h"

#include <nlohmann/json.hpp>

namespace lagoonferry {

namespace {

std::string dump(const nlohmann::json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

nlohmann::json parse_message(const success& done)
{
    nlohmann::json message = nlohmann::json::parse(done.payload, nullptr, false);
    return message.is_object() ? message : nlohmann::json{{"role", "assistant"}, {"content", done.payload}};
}

std::string_view finish_reason(const nlohmann::json& message)
{
    return message.contains("tool_calls") ? "tool_calls" : "stop";
}

nlohmann::json turn_metadata(const completion_origin& origin, const success& done)
{
    return {{"program", origin.program}, {"turn", done.turn}, {"instance", origin.instance}, {"target", origin.target}};
}

nlohmann::json chunk(const completion_origin& origin, const nlohmann::json& delta)
{
    const nlohmann::json choice{{"index", 0}, {"delta", delta}, {"finish_reason", nullptr}};
    return {{"id", origin.program},
            {"object", "chat.completion.chunk"},
            {"model", origin.model},
            {"choices", nlohmann::json::array({choice})}};
}

std::string as_event(const nlohmann::json& value)
{
    return "data: " + dump(value) + "\n\n";
}

} // namespace

std::string completion_json(const completion_origin& origin, const success& done)
{
    const nlohmann::json message = parse_message(done);
    const nlohmann::json choice{{"index", 0}, {"message", message}, {"finish_reason", finish_reason(message)}};
    return dump({{"id", origin.program},
                 {"object", "chat.completion"},
                 {"model", origin.model},
                 {"choices", nlohmann::json::array({choice})},
                 {"lagoonferry", turn_metadata(origin, done)}});
}

std::string stream_token_event(const completion_origin& origin, std::string_view token)
{
    return as_event(chunk(origin, {{"content", token}}));
}

std::string stream_final_events(const completion_origin& origin, const success& done)
{
    const nlohmann::json message = parse_message(done);
    nlohmann::json delta = nlohmann::json::object();
    if (message.contains("tool_calls")) {
        delta["tool_calls"] = message.at("tool_calls");
    }
    nlohmann::json last = chunk(origin, delta);
    last["choices"][0]["finish_reason"] = finish_reason(message);
    last["lagoonferry"] = turn_metadata(origin, done);
    return as_event(last) + "data: [DONE]\n\n";
}

std::string replayed_stream(const completion_origin& origin, const success& done)
{
    const nlohmann::json message = parse_message(done);
    const std::string text = message.value("content", std::string());
    return stream_token_event(origin, text) + stream_final_events(origin, done);
}

} // namespace lagoonferry
