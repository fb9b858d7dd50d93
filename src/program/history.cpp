#include "program/history.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace lagoonferry {

namespace {

using nlohmann::json;

json without_null_members(const std::string& message)
{
    json value = json::parse(message, nullptr, false);
    if (!value.is_object()) {
        return value;
    }
    for (auto it = value.begin(); it != value.end();) {
        it = it->is_null() ? value.erase(it) : std::next(it);
    }
    return value;
}

/// Returns whether the caller's list contains exactly this turn at `position`.
bool matches(const turn_text& turn, std::span<const std::string> messages, std::size_t position)
{
    if (messages.size() < position + turn.messages.size() + 1) {
        return false;
    }
    turn_text received{turn.program, turn.number, turn.previous, {}, messages[position + turn.messages.size()], {}};
    const auto part = messages.subspan(position, turn.messages.size());
    received.messages.assign(part.begin(), part.end());
    // A message that differs only in null members is replaced by the stored one, so that the digests can be compared.
    for (std::size_t n = 0; n < part.size(); ++n) {
        received.messages[n] = equivalent_messages(part[n], turn.messages[n]) ? turn.messages[n] : part[n];
    }
    received.answer = equivalent_messages(received.answer, turn.answer) ? turn.answer : received.answer;
    return chain_digest(received) == turn.digest;
}

bool is_answer(const std::string& message)
{
    const json value = json::parse(message, nullptr, false);
    const auto role = value.find("role");
    return role != value.end() && *role == "assistant";
}

/// Returns the start of each leading turn of the history that the list repeats, then the start of the rest.
std::vector<std::size_t> match_turns(std::span<const std::string> messages, std::span<const text_ref> history)
{
    std::vector<std::size_t> turn_starts{0};
    for (const text_ref& it : history) {
        const turn_text& turn = as_turn(it);
        if (!matches(turn, messages, turn_starts.back())) {
            break;
        }
        turn_starts.push_back(turn_starts.back() + turn.messages.size() + 1);
    }
    return turn_starts;
}

} // namespace

std::optional<std::string> canonical_message(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        return std::nullopt;
    }
    try {
        std::string message = value.dump();
        // dump() doubles the capacity of its output string; the excess would be held as long as the history.
        message.shrink_to_fit();
        return message;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

bool equivalent_messages(const std::string& a, const std::string& b)
{
    return a == b || without_null_members(a) == without_null_members(b);
}

std::string replace_invalid_utf8(std::string_view text)
{
    const std::string quoted = json(std::string(text)).dump(-1, ' ', false, json::error_handler_t::replace);
    return json::parse(quoted).get<std::string>();
}

std::optional<turn_request> split_full_history(std::vector<std::string> messages, std::span<const text_ref> history,
                                               std::uint64_t number, failure& reason)
{
    const std::vector<std::size_t> turn_starts = match_turns(messages, history);
    const std::uint64_t matched = turn_starts.size() - 1;
    const bool derive_number = number == 0;
    if (derive_number) {
        number = std::max<std::uint64_t>(matched + 1, history.size());
    }
    if (number > matched + 1) {
        reason = {result_code::turn_conflict,
                  "the list of messages differs from the stored history at turn " + std::to_string(matched + 1)};
        return std::nullopt;
    }
    const std::size_t begin = turn_starts.at(number - 1);
    if (begin >= messages.size()) {
        reason = {result_code::malformed, "the list has no new message after the stored history"};
        return std::nullopt;
    }
    messages.erase(messages.begin(), messages.begin() + static_cast<std::ptrdiff_t>(begin));
    if (derive_number && std::ranges::any_of(messages, is_answer)) {
        reason = {result_code::turn_conflict, "the list contains an answer that is not in the stored history"};
        return std::nullopt;
    }
    return turn_request{number, std::move(messages)};
}

std::vector<std::string> build_prompt(std::span<const text_ref> history, std::span<const std::string> messages)
{
    std::vector<std::string> prompt;
    for (const text_ref& it : history) {
        const turn_text& turn = as_turn(it);
        std::ranges::copy(turn.messages, std::back_inserter(prompt));
        prompt.push_back(turn.answer);
    }
    std::ranges::copy(messages, std::back_inserter(prompt));
    return prompt;
}

const turn_text& as_turn(const text_ref& text)
{
    return std::get<turn_text>(*text);
}

} // namespace lagoonferry
