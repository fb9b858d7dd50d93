#pragma once

#include "answer_script.h"
#include "engine_core.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace httplib {
struct Request;
}

namespace lagoonferry::standin {

/// The OpenAI form of one answer. Thread-safe after `parse_completion_request`.
class completion_response {
public:
    completion_response() = default;
    completion_response(std::string call_id, std::string model, scripted_answer answer, bool truncated);

    /// The event of one token; empty while the answer is a tool call, which is sent as a whole at the end.
    std::string token_event(std::uint32_t index) const;

    /// The events that end the stream of a finished sequence.
    std::string final_events(const sequence& work) const;

    /// The body of an answer that is not streamed.
    nlohmann::json full_response(const sequence& work) const;

    /// The answer as the assistant message of the next prompt, with its first `tokens` tokens.
    nlohmann::json message(std::uint32_t first, std::uint32_t tokens) const;

private:
    nlohmann::json chunk(const nlohmann::json& delta, const nlohmann::json& finish_reason) const;
    nlohmann::json tool_calls() const;
    std::string finish_reason() const;

    std::string m_call_id;
    std::string m_model;
    scripted_answer m_answer;
    bool m_truncated = false;
};

/// Reads a completion request: the answer that belongs to its messages, and the work that it means. A resumed request
/// ends with the partial answer as an assistant message, which must be a prefix of the answer. Returns why the request
/// is refused, or nothing. Throws nlohmann::json::exception for a body of another form. Thread-safe.
std::optional<std::string> parse_completion_request(const httplib::Request& req, const nlohmann::json& body,
                                                    std::uint32_t default_tokens, completion_response& text,
                                                    engine_job& job);

} // namespace lagoonferry::standin
