#include "journal/partition_image.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace lagoonferry {

namespace {

using nlohmann::json;

/// Estimated sizes of the member names, digests and numbers of one record, without the strings that callers choose.
constexpr std::size_t program_overhead_bytes = 512;
constexpr std::size_t call_overhead_bytes = 384;

std::size_t call_bytes(const call_record& it)
{
    return call_overhead_bytes + 2 * it.key.size() + it.tool.size() + it.result.size();
}

std::size_t program_bytes(const program_record& it)
{
    const open_entry& opened = it.opened;
    return program_overhead_bytes + opened.account.size() + opened.service.size() + it.reason.size();
}

json to_json_value(const call_record& it)
{
    return {{"i", it.call},   {"o", it.tool},         {"k", it.key},   {"d", it.arguments_digest},
            {"n", it.turn},   {"f", it.finished},     {"y", it.known}, {"x", it.expired},
            {"r", it.result}, {"e", it.result_digest}};
}

call_record call_from_json(const json& in)
{
    call_record it;
    in.at("i").get_to(it.call);
    in.at("o").get_to(it.tool);
    in.at("k").get_to(it.key);
    in.at("d").get_to(it.arguments_digest);
    in.at("n").get_to(it.turn);
    in.at("f").get_to(it.finished);
    in.at("y").get_to(it.known);
    in.at("x").get_to(it.expired);
    in.at("r").get_to(it.result);
    in.at("e").get_to(it.result_digest);
    return it;
}

json to_json_value(const program_record& it)
{
    json calls = json::array();
    std::ranges::transform(it.calls, std::back_inserter(calls),
                           [](const auto& pair) { return to_json_value(pair.second); });
    return {{"open", entry_to_json(it.opened)}, {"n", it.turns},    {"d", it.digest}, {"c", it.context_tokens},
            {"b", it.high_water_mark},          {"s", it.children}, {"e", it.ended},  {"w", it.reason},
            {"calls", std::move(calls)}};
}

program_record program_from_json(const json& in)
{
    program_record it;
    it.opened = std::get<open_entry>(entry_from_json(in.at("open")));
    in.at("n").get_to(it.turns);
    in.at("d").get_to(it.digest);
    in.at("c").get_to(it.context_tokens);
    in.at("b").get_to(it.high_water_mark);
    in.at("s").get_to(it.children);
    in.at("e").get_to(it.ended);
    in.at("w").get_to(it.reason);
    for (const json& call : in.at("calls")) {
        call_record record = call_from_json(call);
        std::string key = record.key;
        it.calls.emplace(std::move(key), std::move(record));
    }
    return it;
}

} // namespace

void partition_image::apply(const entry& value)
{
    std::visit([this](const auto& it) { apply_entry(it); }, value);
}

void partition_image::apply_entry(const open_entry& it)
{
    program_record record;
    record.opened = it;
    if (program_record* parent = find_mutable(it.parent)) {
        parent->children = parent->children + it.limits;
    }
    m_bytes += program_bytes(record);
    m_programs.emplace(it.program, std::move(record));
}

void partition_image::apply_entry(const turn_entry& it)
{
    if (program_record* record = find_mutable(it.program)) {
        record->turns = it.number;
        record->digest = it.digest;
        record->context_tokens = it.context_tokens;
    }
}

void partition_image::apply_entry(const intent_entry& it)
{
    if (program_record* record = find_mutable(it.program)) {
        call_record& call = get_or_add_call(*record, it.key);
        m_bytes -= call_bytes(call);
        call = {it.call, it.tool, it.key, it.arguments_digest, it.turn, false, false, false, {}, {}};
        m_bytes += call_bytes(call);
    }
}

void partition_image::apply_entry(const outcome_entry& it)
{
    if (program_record* record = find_mutable(it.program)) {
        call_record& call = get_or_add_call(*record, it.key);
        m_bytes -= call_bytes(call);
        const std::uint64_t turn = call.turn;
        call = {it.call, it.tool,  it.key, it.arguments_digest, turn,
                true,    it.known, false,  it.result,           it.result_digest};
        m_bytes += call_bytes(call);
    }
}

void partition_image::apply_entry(const abandon_entry& it)
{
    program_record* record = find_mutable(it.program);
    if (record == nullptr) {
        return;
    }
    const auto call = record->calls.find(it.key);
    if (call != record->calls.end() && call->second.call == it.call) {
        m_bytes -= call_bytes(call->second);
        record->calls.erase(call);
    }
}

void partition_image::apply_entry(const high_water_mark_entry& it)
{
    if (program_record* record = find_mutable(it.program)) {
        record->high_water_mark = it.high_water_mark;
    }
}

void partition_image::apply_entry(const end_entry& it)
{
    program_record* record = find_mutable(it.program);
    if (record == nullptr || record->ended) {
        return;
    }
    record->ended = true;
    record->reason = it.reason;
    m_bytes += it.reason.size();
    record->high_water_mark = it.spent;
    if (program_record* parent = find_mutable(record->opened.parent)) {
        parent->children = parent->children - (record->opened.limits - it.spent);
    }
}

call_record& partition_image::get_or_add_call(program_record& program, const std::string& key)
{
    const auto [it, added] = program.calls.try_emplace(key);
    if (added) {
        m_bytes += call_bytes(it->second);
    }
    return it->second;
}

void partition_image::remove_program(std::string_view program)
{
    const auto it = m_programs.find(program);
    if (it != m_programs.end() && it->second.ended) {
        m_programs.erase(it);
        recompute_bytes();
    }
}

void partition_image::expire_result(std::string_view program, std::string_view key)
{
    program_record* record = find_mutable(program);
    if (record == nullptr) {
        return;
    }
    const auto it = record->calls.find(key);
    if (it == record->calls.end() || !it->second.finished) {
        return;
    }
    m_bytes -= it->second.result.size();
    it->second.expired = true;
    it->second.result.clear();
    it->second.result_digest.clear();
}

const program_record* partition_image::find(std::string_view program) const
{
    const auto it = m_programs.find(program);
    return it == m_programs.end() ? nullptr : &it->second;
}

program_record* partition_image::find_mutable(std::string_view program)
{
    const auto it = m_programs.find(program);
    return it == m_programs.end() ? nullptr : &it->second;
}

void partition_image::recompute_bytes()
{
    m_bytes = 0;
    for (const auto& [id, record] : m_programs) {
        m_bytes += program_bytes(record);
        for (const auto& [key, call] : record.calls) {
            m_bytes += call_bytes(call);
        }
    }
}

std::string partition_image::encode() const
{
    json out = json::array();
    std::ranges::transform(m_programs, std::back_inserter(out),
                           [](const auto& pair) { return to_json_value(pair.second); });
    return out.dump();
}

std::optional<partition_image> partition_image::decode(std::string_view text)
{
    try {
        partition_image image;
        for (const json& it : json::parse(text)) {
            program_record record = program_from_json(it);
            std::string id = record.opened.program;
            image.m_programs.emplace(std::move(id), std::move(record));
        }
        image.recompute_bytes();
        return image;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
    catch (const std::bad_variant_access&) {
        return std::nullopt;
    }
}

} // namespace lagoonferry
