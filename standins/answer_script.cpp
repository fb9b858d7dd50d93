#include "answer_script.h"

#include "util/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace lagoonferry::standin {

namespace {

constexpr std::uint32_t bytes_per_token = 4;
constexpr std::uint32_t message_overhead_tokens = 4;

enum class rule_kind { call, loop, say };

struct rule {
    rule_kind kind = rule_kind::say;
    scripted_tool_call call;
    std::uint32_t tokens = 0;
};

std::optional<rule> parse_rule(const std::string& line)
{
    std::istringstream in(line);
    std::string verb;
    std::string word;
    rule out;
    in >> verb;
    if (verb == "say" && in >> out.tokens >> word && word == "tokens") {
        return out;
    }
    if ((verb == "call" || verb == "loop") && in >> word && word == "tool" && in >> out.call.name) {
        out.kind = verb == "call" ? rule_kind::call : rule_kind::loop;
        std::getline(in >> std::ws, out.call.arguments);
        return nlohmann::json::accept(out.call.arguments) ? std::optional(out) : std::nullopt;
    }
    return std::nullopt;
}

std::vector<rule> parse_rules(const nlohmann::json& message)
{
    std::vector<rule> out;
    std::istringstream lines(message.at("content").is_string() ? message.at("content").get<std::string>() : "");
    for (std::string line; std::getline(lines, line);) {
        if (const auto found = parse_rule(line)) {
            out.push_back(*found);
        }
    }
    return out;
}

bool has_role(const nlohmann::json& message, std::string_view role)
{
    return message.at("role").get_ref<const std::string&>() == role;
}

std::optional<rule> select_rule(const nlohmann::json& messages)
{
    const auto last_user =
        std::find_if(messages.rbegin(), messages.rend(), [](const nlohmann::json& it) { return has_role(it, "user"); });
    if (last_user == messages.rend()) {
        return std::nullopt;
    }
    const auto turn = static_cast<std::size_t>(
        std::count_if(messages.rbegin(), last_user, [](const nlohmann::json& it) { return has_role(it, "tool"); }));
    const std::vector<rule> rules = parse_rules(*last_user);
    const auto loop = std::ranges::find(rules, rule_kind::loop, &rule::kind);
    if (loop != rules.end() && turn >= static_cast<std::size_t>(loop - rules.begin())) {
        return *loop;
    }
    return turn < rules.size() ? std::optional(rules[turn]) : std::nullopt;
}

} // namespace

scripted_answer script_answer(const nlohmann::json& messages, std::uint32_t default_tokens)
{
    scripted_answer out{digest_hex(messages.dump()), default_tokens, {}};
    const auto found = select_rule(messages);
    if (found && found->kind == rule_kind::say) {
        out.tokens = std::max(found->tokens, 1U);
    }
    else if (found) {
        out.call = found->call;
        out.tokens = token_count(found->call.name + found->call.arguments);
    }
    return out;
}

std::string answer_token(std::string_view digest, std::uint32_t index)
{
    constexpr std::string_view consonants = "bdfghjklmnprstvz";
    constexpr std::string_view vowels = "aeiou";
    const std::string hash = digest_hex(std::string(digest) + std::to_string(index));
    std::uint32_t number = 0;
    std::from_chars(hash.data(), hash.data() + 6, number, 16);
    std::string out;
    out += consonants[number % consonants.size()];
    out += vowels[number / 16 % vowels.size()];
    out += consonants[number / 256 % consonants.size()];
    return out + ' ';
}

std::string answer_text(const nlohmann::json& messages, std::uint32_t count)
{
    const std::string digest = digest_hex(messages.dump());
    std::string out;
    for (std::uint32_t n = 0; n < count; ++n) {
        out += answer_token(digest, n);
    }
    return out;
}

std::uint32_t token_count(std::string_view text)
{
    return (static_cast<std::uint32_t>(text.size()) + bytes_per_token - 1) / bytes_per_token;
}

std::vector<prompt_block> prompt_blocks(const nlohmann::json& messages)
{
    std::vector<prompt_block> out;
    for (const auto& message : messages) {
        const auto content = message.find("content");
        std::uint32_t tokens = message_overhead_tokens;
        if (content != message.end() && !content->is_null()) {
            tokens += token_count(content->is_string() ? content->get_ref<const std::string&>() : content->dump());
        }
        if (const auto calls = message.find("tool_calls"); calls != message.end()) {
            tokens += token_count(calls->dump());
        }
        out.push_back({digest_hex(message.dump()), tokens});
    }
    return out;
}

} // namespace lagoonferry::standin
