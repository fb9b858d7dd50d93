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

/// Formats one scripted answer as responses of the OpenAI chat completions API. Thread-safe after
/// `parse_completion_request`.
class completion_response {
public:
    completion_response() = default;
    completion_response(std::string call_id, std::string model, scripted_answer answer, bool truncated);

    /// Returns the stream event of one token. Empty if the answer is a tool call, which is sent as a whole at the end.
    std::string token_event(std::uint32_t index) const;

    /// Returns the last events of the stream of a finished sequence.
    std::string final_events(const sequence& seq) const;

    /// Returns the body of a response that is not streamed.
    nlohmann::json full_response(const sequence& seq) const;

    /// Returns the answer as an assistant message with the tokens from `first` up to but excluding `end`. A tool call
    /// is always complete.
    nlohmann::json message(std::uint32_t first, std::uint32_t end) const;

private:
    nlohmann::json chunk(const nlohmann::json& delta, const nlohmann::json& finish_reason) const;
    nlohmann::json tool_calls() const;
    std::string finish_reason() const;

    std::string m_call_id;
    std::string m_model;
    scripted_answer m_answer;
    bool m_truncated = false;
};

/// Parses a completion request into its response and the job for the engine. The last message of a resumed request is
/// the partial answer, with the role assistant; it must be a prefix of the full answer. Returns the reason if the
/// request is refused, or nothing. Throws nlohmann::json::exception if the body does not have the expected structure.
/// Thread-safe.
std::optional<std::string> parse_completion_request(const httplib::Request& req, const nlohmann::json& body,
                                                    std::uint32_t default_tokens, completion_response& response,
                                                    engine_job& job);

} // namespace lagoonferry::standin
