#include "backends/engine_request.h"

#include "backends/fencing_headers.h"

#include <nlohmann/json.hpp>

namespace lagoonferry {

namespace {

/// Returns the part of a JSON array or object between its outer brackets; empty if there are no elements.
std::string_view inner_json(std::string_view text, char open, char close)
{
    const std::size_t first = text.find(open);
    const std::size_t last = text.rfind(close);
    if (first == std::string_view::npos || last == std::string_view::npos || last <= first) {
        return {};
    }
    const std::string_view inner = text.substr(first + 1, last - first - 1);
    return inner.find_first_not_of(" \t\r\n") == std::string_view::npos ? std::string_view{} : inner;
}

/// Inserts the messages without parsing them, because a history can have 300,000 tokens.
std::string encode_messages(const engine_call& call)
{
    std::string out = "[";
    out += inner_json(call.messages, '[', ']');
    if (call.resume_tokens > 0) {
        const nlohmann::json partial{{"role", "assistant"}, {"content", call.resume_text}};
        out += out.size() > 1 ? "," : "";
        out += partial.dump();
    }
    return out + "]";
}

std::string encode_body(const engine_call& call)
{
    nlohmann::json head{{"model", call.model},
                        {"program", call.program},
                        {"stream", true},
                        {"stream_options", {{"include_usage", true}}}};
    if (call.max_tokens > 0) {
        head["max_tokens"] = call.max_tokens;
    }
    std::string out = head.dump();
    out.pop_back();
    const std::string_view parameters = inner_json(call.parameters, '{', '}');
    if (!parameters.empty()) {
        out.append(",").append(parameters);
    }
    return out + ",\"messages\":" + encode_messages(call) + "}";
}

} // namespace

http_request make_completion_request(const engine_call& call)
{
    http_request request{"POST", "/v1/chat/completions", {}, encode_body(call)};
    request.headers.emplace_back("Content-Type", "application/json");
    request.headers.emplace_back("X-Call-Id", call.call_id);
    request.headers.emplace_back("X-Priority", std::to_string(call.priority));
    if (call.pin.count() > 0) {
        request.headers.emplace_back("X-Pin-Ms", std::to_string(call.pin.count()));
    }
    if (call.resume_tokens > 0) {
        request.headers.emplace_back("X-Resume-Tokens", std::to_string(call.resume_tokens));
    }
    add_fencing_headers(request.headers, call.fence);
    return request;
}

} // namespace lagoonferry
