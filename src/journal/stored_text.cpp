#include "journal/stored_text.h"

#include "util/digest.h"

#include <nlohmann/json.hpp>

#include <numeric>

namespace lagoonferry {

namespace {

using nlohmann::json;

void add_part(std::string& input, std::string_view part)
{
    input += std::to_string(part.size());
    input += ':';
    input += part;
}

bool verify(const turn_text& turn)
{
    return turn.digest == chain_digest(turn);
}

bool verify(const result_text& result)
{
    return result.digest == digest_hex(result.text);
}

std::size_t size_of(const turn_text& turn)
{
    return std::accumulate(turn.messages.begin(), turn.messages.end(), turn.answer.size(),
                           [](std::size_t sum, const std::string& it) { return sum + it.size(); });
}

std::size_t size_of(const result_text& result)
{
    return result.text.size();
}

json write(const turn_text& turn)
{
    return {{"program", turn.program},   {"number", turn.number}, {"previous", turn.previous},
            {"messages", turn.messages}, {"answer", turn.answer}, {"digest", turn.digest}};
}

json write(const result_text& result)
{
    return {{"program", result.program}, {"call", result.call}, {"text", result.text}, {"digest", result.digest}};
}

} // namespace

std::string chain_digest(const turn_text& turn)
{
    std::string input;
    input.reserve(size_of(turn) + 256);
    add_part(input, turn.program);
    add_part(input, std::to_string(turn.number));
    add_part(input, turn.previous);
    add_part(input, std::to_string(turn.messages.size()));
    for (const std::string& it : turn.messages) {
        add_part(input, it);
    }
    add_part(input, turn.answer);
    return digest_hex(input);
}

bool has_valid_digest(const stored_text& text)
{
    return std::visit([](const auto& it) { return verify(it); }, text);
}

const std::string& program_of(const stored_text& text)
{
    return std::visit([](const auto& it) -> const std::string& { return it.program; }, text);
}

std::size_t text_bytes(const stored_text& text)
{
    return std::visit([](const auto& it) { return size_of(it); }, text);
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
    return std::visit([](const auto& it) { return write(it); }, text);
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
