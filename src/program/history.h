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

/// The new messages of a turn, split from a caller's list.
struct turn_request {
    std::uint64_t number = 0;
    std::vector<std::string> messages;
};

/// Splits a caller's full list of canonical messages at the turns of `history` and compares each part with the digest
/// chain. `number` 0 stands for the turn that the list implies: the next one, or a repetition of the last one; the new
/// messages must then not contain answers, because an answer that the history lacks shows that a turn was lost.
/// Returns nothing, with the reason in `reason`, if the list differs from the history. Thread-safe.
std::optional<turn_request> split_full_history(std::vector<std::string> messages, std::span<const text_ref> history,
                                               std::uint64_t number, failure& reason);

/// Returns the prompt of a turn: all earlier messages and answers, then `messages`. Thread-safe.
std::vector<std::string> build_prompt(std::span<const text_ref> history, std::span<const std::string> messages);

/// Returns the turn that a text of a program's history holds. Precondition: it is a `turn_text`. Thread-safe.
const turn_text& as_turn(const text_ref& text);

} // namespace lagoonferry
