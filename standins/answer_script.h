#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry::standin {

/// A tool call in a scripted answer.
struct scripted_tool_call {
    std::string name;
    std::string arguments; ///< JSON text
};

/// What the stand-in engine answers to a list of messages.
struct scripted_answer {
    std::string digest;                     ///< of all messages
    std::uint32_t tokens = 0;               ///< length of the text, or of the tool call
    std::optional<scripted_tool_call> call; ///< set instead of a text
};

/// Returns the answer to `messages`. The lines of the last user message may hold rules; each rule answers one turn, in
/// order, and the number of tool results after that message selects the rule:
/// `call tool <name> <JSON object>` asks for a tool, `loop tool <name> <JSON object>` asks for it in every turn, and
/// `say <n> tokens` sets the length of the text. Without a rule left, the text has `default_tokens` tokens.
/// Thread-safe.
scripted_answer script_answer(const nlohmann::json& messages, std::uint32_t default_tokens);

/// Returns token `index` of the text that belongs to a digest: three letters and a space. Thread-safe.
std::string answer_token(std::string_view digest, std::uint32_t index);

/// Returns the first `count` tokens of the text for `messages`. Thread-safe.
std::string answer_text(const nlohmann::json& messages, std::uint32_t count);

/// Returns the tokens of a text: one for four bytes, rounded up. Thread-safe.
std::uint32_t token_count(std::string_view text);

/// A message as the prefix cache sees it.
struct prompt_block {
    std::string digest;
    std::uint32_t tokens = 0;

    bool operator==(const prompt_block&) const = default;
};

/// Returns the blocks of a prompt, one for each message, with four tokens for its frame. Thread-safe.
std::vector<prompt_block> prompt_blocks(const nlohmann::json& messages);

} // namespace lagoonferry::standin
