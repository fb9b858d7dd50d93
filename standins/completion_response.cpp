#include "completion_response.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace lagoonferry::standin {

namespace {

constexpr int default_priority = 2;

std::uint32_t number_header(const httplib::Request& req, const char* name, std::uint32_t missing)
{
    const std::string text = req.get_header_value(name);
    std::uint32_t number = missing;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string event_of(const nlohmann::json& data)
{
    return "data: " + data.dump() + "\n\n";
}

nlohmann::json usage_of(const sequence& seq)
{
    const std::uint32_t completed = seq.generated - seq.job.resumed_tokens;
    return {{"prompt_tokens", seq.prompt_tokens()},
            {"completion_tokens", completed},
            {"total_tokens", seq.prompt_tokens() + completed},
            {"prompt_tokens_details", {{"cached_tokens", seq.cached}}}};
}

std::string text_of(const scripted_answer& answer, std::uint32_t first, std::uint32_t end)
{
    std::string out;
    for (std::uint32_t n = first; n < end; ++n) {
        out += answer_token(answer.digest, n);
    }
    return out;
}

} // namespace

completion_response::completion_response(std::string call_id, std::string model, scripted_answer answer, bool truncated)
    : m_call_id(std::move(call_id)), m_model(std::move(model)), m_answer(std::move(answer)), m_truncated(truncated)
{
}

std::string completion_response::token_event(std::uint32_t index) const
{
    if (m_answer.call) {
        return {};
    }
    return event_of(chunk({{"content", answer_token(m_answer.digest, index)}}, nullptr));
}

std::string completion_response::final_events(const sequence& seq) const
{
    std::string out;
    if (m_answer.call) {
        nlohmann::json calls = tool_calls();
        calls.front()["index"] = 0;
        out += event_of(chunk({{"tool_calls", std::move(calls)}}, nullptr));
    }
    nlohmann::json last = chunk(nlohmann::json::object(), finish_reason());
    last["usage"] = usage_of(seq);
    return out + event_of(last) + "data: [DONE]\n\n";
}

nlohmann::json completion_response::full_response(const sequence& seq) const
{
    return {{"id", m_call_id},
            {"object", "chat.completion"},
            {"model", m_model},
            {"choices",
             {{{"index", 0},
               {"message", message(seq.job.resumed_tokens, seq.job.tokens)},
               {"finish_reason", finish_reason()}}}},
            {"usage", usage_of(seq)}};
}

nlohmann::json completion_response::message(std::uint32_t first, std::uint32_t end) const
{
    if (m_answer.call) {
        return {{"role", "assistant"}, {"content", nullptr}, {"tool_calls", tool_calls()}};
    }
    return {{"role", "assistant"}, {"content", text_of(m_answer, first, end)}};
}

nlohmann::json completion_response::chunk(const nlohmann::json& delta, const nlohmann::json& finish_reason) const
{
    return {{"id", m_call_id},
            {"object", "chat.completion.chunk"},
            {"model", m_model},
            {"choices", {{{"index", 0}, {"delta", delta}, {"finish_reason", finish_reason}}}}};
}

nlohmann::json completion_response::tool_calls() const
{
    const scripted_tool_call call = m_answer.call.value_or(scripted_tool_call{});
    return {{{"id", "call_" + m_answer.digest.substr(0, 12)},
             {"type", "function"},
             {"function", {{"name", call.name}, {"arguments", call.arguments}}}}};
}

std::string completion_response::finish_reason() const
{
    if (m_answer.call) {
        return "tool_calls";
    }
    return m_truncated ? "length" : "stop";
}

std::optional<std::string> parse_completion_request(const httplib::Request& req, const nlohmann::json& body,
                                                    std::uint32_t default_tokens, completion_response& response,
                                                    engine_job& job)
{
    nlohmann::json messages = body.at("messages");
    job.resumed_tokens = number_header(req, "X-Resume-Tokens", 0);
    std::string partial;
    if (job.resumed_tokens > 0) {
        if (messages.empty() || messages.back().at("role") != "assistant") {
            return "a resumed request must end with the partial answer as an assistant message";
        }
        partial = messages.back().at("content").get<std::string>();
        messages.erase(messages.size() - 1);
    }
    scripted_answer answer = script_answer(messages, default_tokens);
    const std::uint32_t limit = body.value("max_tokens", answer.tokens);
    const bool truncated = !answer.call && job.resumed_tokens + limit < answer.tokens;
    answer.tokens = truncated ? job.resumed_tokens + limit : answer.tokens;
    if (job.resumed_tokens >= answer.tokens || partial != text_of(answer, 0, job.resumed_tokens)) {
        return job.resumed_tokens > 0 ? "the partial answer is not a prefix of the answer to these messages"
                                      : "max_tokens is 0";
    }
    job.call_id = req.get_header_value("X-Call-Id");
    job.program = body.value("program", "");
    job.priority = static_cast<int>(number_header(req, "X-Priority", default_priority));
    job.pin_duration = std::chrono::milliseconds(number_header(req, "X-Pin-Ms", 0));
    job.prompt = prompt_blocks(messages);
    job.tokens = answer.tokens;
    response = completion_response(job.call_id, body.value("model", ""), std::move(answer), truncated);
    job.answer = prompt_blocks(nlohmann::json::array({response.message(0, job.tokens)})).front();
    return std::nullopt;
}

} // namespace lagoonferry::standin
