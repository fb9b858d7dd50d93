#pragma once

#include "backends/engine_answer.h"
#include "backends/engine_client.h"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace lagoonferry {

/// Parses the events of an OpenAI completion stream into an answer. One thread at a time.
class completion_reader {
public:
    /// `on_token` may be empty; it outlives this object.
    explicit completion_reader(const engine_client::token_callback& on_token);

    /// Reads one event. Returns false if the stream must end: after an error event, a malformed event or a token for
    /// which the callback returned false.
    bool read_event(std::string_view data);

    /// Returns whether the final event has arrived.
    bool complete() const { return m_complete; }

    /// Returns whether the callback has ended the stream.
    bool stopped() const { return m_stopped; }

    /// The answer so far; its `reason` is set after an error event or a malformed event.
    engine_answer& answer() { return m_answer; }

private:
    bool read_chunk(const nlohmann::json& chunk);
    bool read_choice(const nlohmann::json& choice);
    bool read_tool_calls(const nlohmann::json& deltas);

    const engine_client::token_callback& m_on_token;
    engine_answer m_answer;
    bool m_complete = false;
    bool m_stopped = false;
};

} // namespace lagoonferry
