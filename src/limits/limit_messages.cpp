#include "limits/limit_messages.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace lagoonferry {

namespace {

using nlohmann::json;

/// Returns the result of `read`, or nothing when the message does not have the expected form.
template <class Read>
auto read_or_nothing(Read read) -> std::optional<decltype(read())>
{
    try {
        return read();
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

/// Returns the enumerator with this value, up to `last`, or nothing.
template <class Enum>
std::optional<Enum> enumerator_from(const json& value, Enum last)
{
    const int number = value.is_number_integer() ? value.get<int>() : -1;
    return number >= 0 && number <= static_cast<int>(last) ? std::optional(static_cast<Enum>(number)) : std::nullopt;
}

json grants_json(const request_record& record)
{
    json list = json::array();
    for (const auto& [id, item] : record.grants) {
        list.push_back({id, item.granted, item.returned});
    }
    return list;
}

bool has_finite_level(const json& message)
{
    const auto it = message.find("l");
    return it != message.end() && it->is_number() && std::isfinite(it->get<double>());
}

request_record record_from(const json& message)
{
    request_record record;
    record.level = message.at("l").get<double>();
    for (const json& item : message.at("r")) {
        record.grants[item.at(0).get<std::uint64_t>()] = {item.at(1).get<std::uint64_t>(),
                                                          item.at(2).get<std::uint64_t>(), timestamp{}};
    }
    return record;
}

} // namespace

json to_json(const limit_request& message)
{
    return {{"q", message.id},          {"a", message.account},
            {"n", message.wanted},      {"s", message.starts_program},
            {"w", message.max_wait_ms}, {"d", message.decide_anyway},
            {"o", message.owner_silent}};
}

json to_json(const limit_reply& message)
{
    json out{
        {"q", message.id}, {"v", static_cast<int>(message.verdict)}, {"n", message.granted}, {"w", message.delay_ms}};
    if (!message.owner.empty()) {
        out["o"] = message.owner;
    }
    return out;
}

json to_json(const limit_adjustment& message)
{
    return {{"a", message.account}, {"r", message.returned}, {"c", message.charged}};
}

json to_json(const limit_copy& message)
{
    json out{{"a", message.account}, {"h", static_cast<int>(message.purpose)}, {"c", message.sender_owns}};
    if (message.record) {
        out["l"] = message.record->level;
        out["r"] = grants_json(*message.record);
    }
    return out;
}

std::optional<limit_request> limit_request_from(const json& message)
{
    return read_or_nothing([&] {
        return limit_request{message.at("q").get<std::uint64_t>(), message.at("a").get<std::string>(),
                             message.at("n").get<std::uint32_t>(), message.at("s").get<bool>(),
                             message.at("w").get<std::uint32_t>(), message.at("d").get<bool>(),
                             message.at("o").get<bool>()};
    });
}

std::optional<limit_reply> limit_reply_from(const json& message)
{
    const auto reply = read_or_nothing([&] {
        const auto verdict = enumerator_from(message.at("v"), limit_verdict::unknown);
        return std::pair(verdict, limit_reply{message.at("q").get<std::uint64_t>(), limit_verdict::decided,
                                              message.at("n").get<std::uint32_t>(),
                                              message.at("w").get<std::uint32_t>(), message.value("o", std::string{})});
    });
    if (!reply || !reply->first) {
        return std::nullopt;
    }
    limit_reply parsed = reply->second;
    parsed.verdict = *reply->first;
    return parsed;
}

std::optional<limit_adjustment> limit_adjustment_from(const json& message)
{
    return read_or_nothing([&] {
        return limit_adjustment{message.at("a").get<std::string>(), message.at("r").get<std::uint32_t>(),
                                message.at("c").get<std::uint32_t>()};
    });
}

std::optional<limit_copy> limit_copy_from(const json& message)
{
    const auto purpose =
        message.is_object() ? enumerator_from(message.value("h", json{}), limit_copy_purpose::request) : std::nullopt;
    if (!purpose || (message.contains("r") && !has_finite_level(message))) {
        return std::nullopt;
    }
    return read_or_nothing([&] {
        limit_copy parsed{message.at("a").get<std::string>(), *purpose, message.at("c").get<bool>(), std::nullopt};
        if (message.contains("r")) {
            parsed.record = record_from(message);
        }
        return parsed;
    });
}

} // namespace lagoonferry
