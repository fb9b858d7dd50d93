#include "backends/completion_reader.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lagoonferry {

namespace {

// Bound on the index of a tool call, which the engine sends. An event with a larger index is malformed.
constexpr std::size_t max_tool_calls = 128;

void append_text(std::string& out, const nlohmann::json& object, const char* name)
{
    const auto it = object.find(name);
    if (it != object.end() && it->is_string()) {
        out += it->get_ref<const std::string&>();
    }
}

engine_usage read_usage(const nlohmann::json& usage)
{
    engine_usage out;
    out.prompt_tokens = usage.value("prompt_tokens", 0U);
    out.completion_tokens = usage.value("completion_tokens", 0U);
    const auto details = usage.find("prompt_tokens_details");
    if (details != usage.end() && details->is_object()) {
        out.cached_tokens = details->value("cached_tokens", 0U);
    }
    return out;
}

} // namespace

completion_reader::completion_reader(const engine_client::token_callback& on_token) : m_on_token(on_token) {}

bool completion_reader::read_event(std::string_view data)
{
    if (data == "[DONE]") {
        m_complete = true;
        return true;
    }
    try {
        return read_chunk(nlohmann::json::parse(data));
    }
    catch (const nlohmann::json::exception& error) {
        m_answer.reason = {result_code::answer_cut, std::string("malformed event: ") + error.what()};
        return false;
    }
}

bool completion_reader::read_chunk(const nlohmann::json& chunk)
{
    if (const auto error = chunk.find("error"); error != chunk.end()) {
        m_answer.reason = {result_code::answer_cut, "error event: " + error->dump()};
        return false;
    }
    if (const auto usage = chunk.find("usage"); usage != chunk.end() && usage->is_object()) {
        m_answer.usage = read_usage(*usage);
    }
    const auto choices = chunk.find("choices");
    return choices == chunk.end() || choices->empty() || read_choice(choices->at(0));
}

bool completion_reader::read_choice(const nlohmann::json& choice)
{
    append_text(m_answer.finish_reason, choice, "finish_reason");
    const auto delta = choice.find("delta");
    if (delta == choice.end()) {
        return true;
    }
    const auto calls = delta->find("tool_calls");
    if (calls != delta->end() && calls->is_array() && !read_tool_calls(*calls)) {
        return false;
    }
    const std::size_t before = m_answer.text.size();
    append_text(m_answer.text, *delta, "content");
    if (m_answer.text.size() == before) {
        return true;
    }
    ++m_answer.tokens_received;
    m_stopped = m_on_token && !m_on_token(std::string_view(m_answer.text).substr(before));
    return !m_stopped;
}

bool completion_reader::read_tool_calls(const nlohmann::json& deltas)
{
    for (const auto& delta : deltas) {
        const auto index = delta.value("index", std::size_t{0});
        if (index >= max_tool_calls) {
            m_answer.reason = {result_code::answer_cut, "malformed event: tool call index " + std::to_string(index)};
            return false;
        }
        m_answer.tool_calls.resize(std::max(m_answer.tool_calls.size(), index + 1));
        engine_tool_call& call = m_answer.tool_calls[index];
        append_text(call.id, delta, "id");
        if (const auto function = delta.find("function"); function != delta.end()) {
            append_text(call.name, *function, "name");
            append_text(call.arguments, *function, "arguments");
        }
    }
    return true;
}

} // namespace lagoonferry
