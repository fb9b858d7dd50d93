#include "entry/request_reader.h"

#include "document/document_table.h"
#include "entry/refusal_json.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace lagoonferry {

namespace {

constexpr std::uint64_t default_deadline_ms = 120'000;
constexpr std::uint64_t max_deadline_ms = 600'000;
constexpr std::uint64_t default_completion_tokens = 1024;
constexpr std::uint64_t max_allowed_completion_tokens = 300'000;

/// Reads a header as a number. Returns `fallback` if it is absent, and nothing if it is not a number.
std::optional<std::uint64_t> number_header(const httplib::Request& request, const char* name, std::uint64_t fallback)
{
    const std::string text = request.get_header_value(name);
    if (text.empty()) {
        return fallback;
    }
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

template <class T>
std::optional<T> fail(refusal& error, std::string text)
{
    error = make_refusal(result_code::malformed, std::move(text));
    return std::nullopt;
}

bool read_amount(const nlohmann::json& body, const char* name, std::uint64_t limit, std::uint64_t& value,
                 refusal& error)
{
    value = limit;
    if (!body.contains(name)) {
        return true;
    }
    const nlohmann::json& given = body.at(name);
    if (!given.is_number_unsigned()) {
        error = make_refusal(result_code::malformed, std::string("/budget/") + name + " is not a non-negative integer");
        return false;
    }
    value = std::min(given.get<std::uint64_t>(), limit);
    return true;
}

} // namespace

std::optional<nlohmann::json> read_object(const std::string& body, refusal& error)
{
    nlohmann::json value = nlohmann::json::parse(body, nullptr, false);
    if (!value.is_object()) {
        return fail<nlohmann::json>(error, "the body is not a JSON object");
    }
    return value;
}

std::optional<call_options> read_options(const httplib::Request& request, const caller_identity& caller, refusal& error)
{
    call_options options;
    options.service = caller.service->record.service;
    options.account = caller.full_name();
    const std::string name = request.has_header("X-Class") ? request.get_header_value("X-Class") : "normal";
    const auto requested = parse_service_class(name);
    const account* known = find_account(caller.service->document, caller.account);
    if (!requested || known == nullptr) {
        return fail<call_options>(error, "X-Class is not safety, interactive, normal or bulk");
    }
    if (std::ranges::find(known->classes, *requested) == known->classes.end()) {
        error = make_refusal(result_code::unauthorized, "the account may not use the class " + name);
        return std::nullopt;
    }
    const auto deadline = number_header(request, "X-Deadline-Ms", default_deadline_ms);
    if (!deadline || *deadline == 0 || *deadline > max_deadline_ms) {
        return fail<call_options>(error, "X-Deadline-Ms is not a number from 1 to 600000");
    }
    options.priority = *requested;
    options.engine_priority =
        static_cast<int>(caller.service->document.priorities.at(index_of(*requested)).engine_priority);
    options.started = steady_now();
    options.deadline = options.started + std::chrono::milliseconds(*deadline);
    return options;
}

std::optional<begin_turn> read_turn(const httplib::Request& request, const nlohmann::json& body, refusal& error)
{
    begin_turn turn;
    const auto number = number_header(request, "X-Turn", 0);
    if (!number) {
        return fail<begin_turn>(error, "X-Turn is not a number");
    }
    const std::string history = request.has_header("X-History") ? request.get_header_value("X-History") : "full";
    if (history != "full" && history != "new") {
        return fail<begin_turn>(error, "X-History is neither full nor new");
    }
    turn.number = *number;
    turn.full_history = history == "full";
    if (!turn.full_history && turn.number == 0) {
        return fail<begin_turn>(error, "X-History: new needs X-Turn");
    }
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty() ||
        !std::ranges::all_of(*messages, [](const nlohmann::json& m) { return m.is_object(); })) {
        return fail<begin_turn>(error, "/messages is not a list of objects");
    }
    std::ranges::transform(*messages, std::back_inserter(turn.messages),
                           [](const nlohmann::json& m) { return m.dump(); });
    turn.max_completion_tokens = default_completion_tokens;
    if (body.contains("max_tokens")) {
        const nlohmann::json& given = body.at("max_tokens");
        if (!given.is_number_unsigned() || given == 0U || given > max_allowed_completion_tokens) {
            return fail<begin_turn>(error, "/max_tokens is not a number from 1 to 300000");
        }
        turn.max_completion_tokens = given.get<std::uint64_t>();
    }
    return turn;
}

std::string engine_parameters(const nlohmann::json& body)
{
    constexpr std::array handled_members{"model", "messages", "max_tokens", "stream", "stream_options"};
    nlohmann::json parameters = nlohmann::json::object();
    for (const auto& [name, value] : body.items()) {
        if (std::ranges::find(handled_members, name) == handled_members.end()) {
            parameters[name] = value;
        }
    }
    return parameters.empty() ? std::string() : parameters.dump();
}

std::optional<budget> read_budget(const nlohmann::json& body, const budget_limits& limits, refusal& error)
{
    const nlohmann::json requested = body.value("budget", nlohmann::json::object());
    if (!requested.is_object()) {
        return fail<budget>(error, "/budget is not an object");
    }
    budget result;
    if (!read_amount(requested, "tokens", limits.tokens, result.tokens, error) ||
        !read_amount(requested, "calls", limits.calls, result.calls, error) ||
        !read_amount(requested, "money_micro", limits.money_micro, result.money, error)) {
        return std::nullopt;
    }
    return result;
}

} // namespace lagoonferry
