#include "journal/stored_text.h"

#include "util/digest.h"

#include <nlohmann/json.hpp>

#include <numeric>

namespace lagoonferry {

namespace {

using nlohmann::json;

void append_with_length(std::string& input, std::string_view part)
{
    input += std::to_string(part.size());
    input += ':';
    input += part;
}

bool digest_matches(const turn_text& turn)
{
    return turn.digest == chain_digest(turn);
}

bool digest_matches(const result_text& result)
{
    return result.digest == digest_hex(result.text);
}

std::size_t content_bytes(const turn_text& turn)
{
    return std::accumulate(turn.messages.begin(), turn.messages.end(), turn.answer.size(),
                           [](std::size_t sum, const std::string& it) { return sum + it.size(); });
}

std::size_t content_bytes(const result_text& result)
{
    return result.text.size();
}

json to_json_value(const turn_text& turn)
{
    return {{"program", turn.program},   {"number", turn.number}, {"previous", turn.previous},
            {"messages", turn.messages}, {"answer", turn.answer}, {"digest", turn.digest}};
}

json to_json_value(const result_text& result)
{
    return {{"program", result.program}, {"call", result.call}, {"text", result.text}, {"digest", result.digest}};
}

} // namespace

std::string chain_digest(const turn_text& turn)
{
    std::string input;
    input.reserve(content_bytes(turn) + 256);
    append_with_length(input, turn.program);
    append_with_length(input, std::to_string(turn.number));
    append_with_length(input, turn.previous);
    append_with_length(input, std::to_string(turn.messages.size()));
    for (const std::string& it : turn.messages) {
        append_with_length(input, it);
    }
    append_with_length(input, turn.answer);
    return digest_hex(input);
}

bool has_valid_digest(const stored_text& text)
{
    return std::visit([](const auto& it) { return digest_matches(it); }, text);
}

const std::string& program_of(const stored_text& text)
{
    return std::visit([](const auto& it) -> const std::string& { return it.program; }, text);
}

std::size_t text_bytes(const stored_text& text)
{
    return std::visit([](const auto& it) { return content_bytes(it); }, text);
}

text_summary summarize(text_ref text)
{
    text_summary out;
    out.program = program_of(*text);
    out.bytes = text_bytes(*text);
    out.digest_valid = has_valid_digest(*text);
    if (const auto* turn = std::get_if<turn_text>(text.get())) {
        out.number = turn->number;
        out.previous = turn->previous;
        out.digest = turn->digest;
    }
    else {
        out.digest = std::get<result_text>(*text).digest;
    }
    out.text = std::move(text);
    return out;
}

json text_to_json(const stored_text& text)
{
    return std::visit([](const auto& it) { return to_json_value(it); }, text);
}

stored_text text_from_json(const json& in)
{
    if (in.contains("call")) {
        return result_text{in.at("program"), in.at("call"), in.at("text"), in.at("digest")};
    }
    return turn_text{in.at("program"),  in.at("number"), in.at("previous"),
                     in.at("messages"), in.at("answer"), in.at("digest")};
}

} // namespace lagoonferry
