#include "conversation/history_messages.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lagoonferry {

namespace {

std::string to_cbor(const nlohmann::json& value)
{
    std::string out;
    nlohmann::json::to_cbor(value, out);
    return out;
}

nlohmann::json to_json(const turn_record& record)
{
    return {record.id, record.previous, record.input, record.output, record.retention.count()};
}

nlohmann::json to_json(std::span<const turn_record* const> records)
{
    nlohmann::json list = nlohmann::json::array();
    std::ranges::transform(records, std::back_inserter(list), [](const turn_record* item) { return to_json(*item); });
    return list;
}

turn_record record_from(const nlohmann::json& in)
{
    turn_record record;
    record.id = in.at(0).get<std::string>();
    record.previous = in.at(1).get<std::string>();
    record.input = in.at(2).get<std::string>();
    record.output = in.at(3).get<std::string>();
    record.retention = std::chrono::milliseconds(in.at(4).get<std::int64_t>());
    return record;
}

std::vector<turn_record> records_from(const nlohmann::json& list)
{
    std::vector<turn_record> records;
    std::ranges::transform(list, std::back_inserter(records), record_from);
    return records;
}

/// Decodes CBOR and reads it with `read`, which may throw the exceptions of the JSON library.
template <class Read>
auto decode(std::string_view text, Read read) -> std::optional<decltype(read(nlohmann::json{}))>
{
    try {
        return read(nlohmann::json::from_cbor(text.begin(), text.end()));
    }
    catch (const nlohmann::json::exception&) {
        return std::nullopt; // the caller logs which message was malformed
    }
}

} // namespace

std::string encode_turns(std::span<const turn_record* const> records)
{
    return to_cbor(to_json(records));
}

std::optional<std::vector<turn_record>> decode_turns(std::string_view text)
{
    return decode(text, records_from);
}

std::string encode_page(std::span<const turn_record* const> records, std::uint64_t next, bool more, bool lost_disk)
{
    return to_cbor({to_json(records), next, more, lost_disk});
}

std::optional<turn_page> decode_page(std::string_view text)
{
    return decode(text, [](const nlohmann::json& in) {
        return turn_page{records_from(in.at(0)), in.at(1).get<std::uint64_t>(), in.at(2).get<bool>(),
                         in.at(3).get<bool>()};
    });
}

std::string encode_text(std::string_view value)
{
    return to_cbor(std::string(value));
}

std::optional<std::string> decode_text(std::string_view text)
{
    return decode(text, [](const nlohmann::json& in) { return in.get<std::string>(); });
}

std::string encode_position(std::uint64_t position)
{
    return to_cbor(position);
}

std::optional<std::uint64_t> decode_position(std::string_view text)
{
    return decode(text, [](const nlohmann::json& in) { return in.get<std::uint64_t>(); });
}

} // namespace lagoonferry
