#pragma once

#include "journal/stored_text.h"
#include "util/failure.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// Returns the form in which messages are stored and sent to engines: a JSON object with sorted member names and
/// without insignificant spaces. Returns nothing for text that is not a JSON object in UTF-8. Thread-safe.
std::optional<std::string> canonical_message(std::string_view text);

/// Returns whether two canonical messages are equal apart from null members, which client libraries add or drop.
/// Thread-safe.
bool equivalent_messages(const std::string& a, const std::string& b);

/// Returns the text with invalid UTF-8 sequences replaced, so that it can be part of JSON. Thread-safe.
std::string replace_invalid_utf8(std::string_view text);

/// The number and the new messages of a turn.
struct turn_request {
    std::uint64_t number = 0;
    std::vector<std::string> messages;
};

/// Splits a caller's full list of canonical messages at the turns of `history`, compares each part with the digest
/// chain and returns the turn that follows. If `number` is 0, the number is derived from the list: the next turn, or a
/// repetition of the last one. In this case the new messages must not contain answers: an answer that is not in the
/// history shows that a turn was lost. Returns nothing, with the cause in `reason`, if the list does not match the
/// history. Thread-safe.
std::optional<turn_request> split_full_history(std::vector<std::string> messages, std::span<const text_ref> history,
                                               std::uint64_t number, failure& reason);

/// Returns the prompt of a turn: all earlier messages and answers, followed by `messages`. Thread-safe.
std::vector<std::string> build_prompt(std::span<const text_ref> history, std::span<const std::string> messages);

/// Returns the turn in a text of a program's history. Precondition: `text` holds a `turn_text`. Thread-safe.
const turn_text& as_turn(const text_ref& text);

} // namespace lagoonferry
