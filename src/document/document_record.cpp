#include "document/document_record.h"

#include <algorithm>

namespace lagoonferry {

namespace {

constexpr std::size_t version_digits = 10;

bool has_fields(const nlohmann::json& item)
{
    const auto has_string = [&](const char* field) { return item.contains(field) && item[field].is_string(); };
    const auto has_integer = [&](const char* field) { return item.contains(field) && item[field].is_number_integer(); };
    return item.is_object() && has_string("service") && has_string("write_id") && has_string("author") &&
           has_integer("version") && has_integer("time_ms") && item.contains("body");
}

} // namespace

std::string serialize_record(const document_record& record)
{
    return nlohmann::json{{"service", record.service}, {"version", record.version}, {"write_id", record.write_id},
                          {"author", record.author},   {"time_ms", record.time_ms}, {"body", record.body}}
        .dump();
}

std::optional<document_record> parse_record(std::string_view text)
{
    const auto item = nlohmann::json::parse(text, nullptr, false);
    if (!has_fields(item)) {
        return std::nullopt;
    }
    return document_record{item["service"], item["version"], item["write_id"],
                           item["author"],  item["time_ms"], item["body"]};
}

std::string document_key(std::string_view service)
{
    return "document/" + std::string(service);
}

std::string document_history_prefix(std::string_view service)
{
    return "document-history/" + std::string(service) + "/";
}

std::string document_history_key(std::string_view service, std::uint64_t version)
{
    const std::string digits = std::to_string(version);
    const std::size_t zeros = version_digits - std::min(version_digits, digits.size());
    return document_history_prefix(service) + std::string(zeros, '0') + digits;
}

} // namespace lagoonferry
