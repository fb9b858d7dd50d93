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

/// The answer of the stand-in engine to a list of messages: a text or a tool call.
struct scripted_answer {
    std::string digest;                     ///< digest of all messages
    std::uint32_t tokens = 0;               ///< length of the text or the tool call
    std::optional<scripted_tool_call> call; ///< set instead of a text
};

/// Returns the answer to `messages`. Lines of the last user message can contain rules. Each rule determines the answer
/// of one turn, in order; the number of tool results after that message is the index of the rule. `call tool <name>
/// <JSON object>` returns a tool call, `loop tool <name> <JSON object>` returns it in this and every later turn, and
/// `say <n> tokens` sets the length of the text. Without a remaining rule, the text has `default_tokens` tokens.
/// Thread-safe.
scripted_answer script_answer(const nlohmann::json& messages, std::uint32_t default_tokens);

/// Returns token `index` of the text that is generated from a digest: three letters and a space. Thread-safe.
std::string answer_token(std::string_view digest, std::uint32_t index);

/// Returns the first `count` tokens of the text for `messages`. Thread-safe.
std::string answer_text(const nlohmann::json& messages, std::uint32_t count);

/// Returns the number of tokens in a text: one token per four bytes, rounded up. Thread-safe.
std::uint32_t token_count(std::string_view text);

/// One message of a prompt, the unit in which the prefix cache compares prompts.
struct prompt_block {
    std::string digest;
    std::uint32_t tokens = 0;

    bool operator==(const prompt_block&) const = default;
};

/// Returns the blocks of a prompt, one per message. Each counts four tokens of overhead besides its content.
/// Thread-safe.
std::vector<prompt_block> prompt_blocks(const nlohmann::json& messages);

} // namespace lagoonferry::standin
