#include "journal/entry.h"

#include <nlohmann/json.hpp>

#include <array>

namespace lagoonferry {

namespace {

using nlohmann::json;

// Short member names keep the tail of the head record small: it is rewritten with every append.

json to_json_value(const open_entry& it)
{
    return {{"p", it.program},  {"a", it.account},  {"s", it.service},
            {"u", it.parent},   {"l", it.limits},   {"m", it.high_water_mark_chunks},
            {"c", it.priority}, {"o", it.opened_ms}};
}

void from_json_value(const json& in, open_entry& it)
{
    in.at("p").get_to(it.program);
    in.at("a").get_to(it.account);
    in.at("s").get_to(it.service);
    in.at("u").get_to(it.parent);
    in.at("l").get_to(it.limits);
    in.at("m").get_to(it.high_water_mark_chunks);
    // Entries of earlier versions have neither a service class nor an opening time.
    const auto priority = in.value("c", index_of(service_class::normal));
    if (priority >= class_count) {
        throw json::other_error::create(501, "unknown service class of a program", &in);
    }
    it.priority = all_service_classes.at(priority);
    it.opened_ms = in.value("o", std::int64_t{0});
}

json to_json_value(const turn_entry& it)
{
    return {{"p", it.program}, {"n", it.number}, {"d", it.digest}, {"c", it.context_tokens}};
}

void from_json_value(const json& in, turn_entry& it)
{
    in.at("p").get_to(it.program);
    in.at("n").get_to(it.number);
    in.at("d").get_to(it.digest);
    in.at("c").get_to(it.context_tokens);
}

json to_json_value(const intent_entry& it)
{
    return {{"i", it.call}, {"p", it.program}, {"n", it.turn},
            {"o", it.tool}, {"k", it.key},     {"d", it.arguments_digest}};
}

void from_json_value(const json& in, intent_entry& it)
{
    in.at("i").get_to(it.call);
    in.at("p").get_to(it.program);
    in.at("n").get_to(it.turn);
    in.at("o").get_to(it.tool);
    in.at("k").get_to(it.key);
    in.at("d").get_to(it.arguments_digest);
}

json to_json_value(const outcome_entry& it)
{
    return {{"i", it.call},  {"p", it.program}, {"o", it.tool},         {"k", it.key}, {"d", it.arguments_digest},
            {"y", it.known}, {"r", it.result},  {"e", it.result_digest}};
}

void from_json_value(const json& in, outcome_entry& it)
{
    in.at("i").get_to(it.call);
    in.at("p").get_to(it.program);
    in.at("o").get_to(it.tool);
    in.at("k").get_to(it.key);
    in.at("d").get_to(it.arguments_digest);
    in.at("y").get_to(it.known);
    in.at("r").get_to(it.result);
    in.at("e").get_to(it.result_digest);
}

json to_json_value(const abandon_entry& it)
{
    return {{"i", it.call}, {"p", it.program}, {"k", it.key}};
}

void from_json_value(const json& in, abandon_entry& it)
{
    in.at("i").get_to(it.call);
    in.at("p").get_to(it.program);
    in.at("k").get_to(it.key);
}

json to_json_value(const high_water_mark_entry& it)
{
    return {{"p", it.program}, {"b", it.high_water_mark}};
}

void from_json_value(const json& in, high_water_mark_entry& it)
{
    in.at("p").get_to(it.program);
    in.at("b").get_to(it.high_water_mark);
}

json to_json_value(const end_entry& it)
{
    return {{"p", it.program}, {"w", it.reason}, {"b", it.spent}};
}

void from_json_value(const json& in, end_entry& it)
{
    in.at("p").get_to(it.program);
    in.at("w").get_to(it.reason);
    in.at("b").get_to(it.spent);
}

/// Estimated size of the member names, separators and numbers of one entry.
constexpr std::size_t entry_overhead_bytes = 48;

std::size_t string_bytes(const open_entry& it)
{
    return it.account.size() + it.service.size() + it.parent.size() + 72;
}

std::size_t string_bytes(const turn_entry& it)
{
    return it.digest.size();
}

std::size_t string_bytes(const intent_entry& it)
{
    return it.call.size() + it.tool.size() + it.key.size() + it.arguments_digest.size();
}

std::size_t string_bytes(const outcome_entry& it)
{
    return it.call.size() + it.tool.size() + it.key.size() + it.arguments_digest.size() + it.result.size() +
           it.result_digest.size();
}

std::size_t string_bytes(const abandon_entry& it)
{
    return it.call.size() + it.key.size();
}

std::size_t string_bytes(const high_water_mark_entry& /*it*/)
{
    return 24;
}

std::size_t string_bytes(const end_entry& it)
{
    return it.reason.size() + 24;
}

/// Names of the alternatives of `entry`, in the same order.
constexpr std::array kind_names{"open", "turn", "intent", "outcome", "abandon", "mark", "end"};
static_assert(kind_names.size() == std::variant_size_v<entry>);

template <std::size_t Index = 0>
entry entry_of_kind(std::string_view name, const json& in)
{
    if constexpr (Index < kind_names.size()) {
        if (name != kind_names.at(Index)) {
            return entry_of_kind<Index + 1>(name, in);
        }
        std::variant_alternative_t<Index, entry> value;
        from_json_value(in, value);
        return value;
    }
    else {
        throw json::other_error::create(501, "unknown kind of log entry", &in);
    }
}

} // namespace

const std::string& program_of(const entry& value)
{
    return std::visit([](const auto& it) -> const std::string& { return it.program; }, value);
}

std::size_t entry_bytes(const entry& value)
{
    return std::visit([](const auto& it) { return entry_overhead_bytes + it.program.size() + string_bytes(it); },
                      value);
}

json entry_to_json(const entry& value)
{
    json out = std::visit([](const auto& it) { return to_json_value(it); }, value);
    out["t"] = kind_names.at(value.index());
    return out;
}

entry entry_from_json(const json& in)
{
    return entry_of_kind(in.at("t").get_ref<const std::string&>(), in);
}

} // namespace lagoonferry
