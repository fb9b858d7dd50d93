#include "document/json_reader.h"

#include "settings/label.h"

#include <sstream>

namespace lagoonferry {

namespace {

constexpr std::size_t max_quoted_length = 80;

std::string describe_range(std::uint64_t min, std::uint64_t max)
{
    return "an integer from " + std::to_string(min) + " to " + std::to_string(max);
}

std::string describe_found_type(const nlohmann::json& value)
{
    return std::string(", found ") + value.type_name();
}

} // namespace

std::string join_path(const std::string& path, std::string_view field)
{
    return path + (nlohmann::json::json_pointer() / std::string(field)).to_string();
}

std::string join_path(const std::string& path, std::size_t index)
{
    return path + "/" + std::to_string(index);
}

json_reader::json_reader(const nlohmann::json& value, std::string path, std::vector<document_fault>& faults)
    : m_value(value), m_path(std::move(path)), m_faults(faults)
{
    if (!m_value.is_object()) {
        m_faults.push_back({m_path, "expected an object" + describe_found_type(m_value)});
    }
}

void json_reader::name(std::string_view field, std::string& result, std::size_t max_length)
{
    const std::string expected = "a name of 1 to " + std::to_string(max_length) + " letters, digits, '.', '_', '-'";
    string(field, result, expected,
           [=](const std::string& value) { return value.size() <= max_length && is_label(value); });
}

void json_reader::number(std::string_view field, double& result, double min, double max)
{
    const nlohmann::json* value = find(field);
    if (value == nullptr) {
        return;
    }
    std::ostringstream expected;
    expected << "expected a number from " << min << " to " << max;
    if (!value->is_number()) {
        fault(field, expected.str() + describe_found_type(*value));
        return;
    }
    result = value->get<double>();
    if (result < min || result > max) {
        fault(field, expected.str() + ", found " + value->dump());
    }
}

void json_reader::boolean(std::string_view field, bool& result)
{
    const nlohmann::json* value = find(field, nlohmann::json::value_t::boolean, "true or false");
    if (value != nullptr) {
        result = value->get<bool>();
    }
}

const nlohmann::json* json_reader::object(std::string_view field)
{
    return find(field, nlohmann::json::value_t::object, "an object");
}

const nlohmann::json* json_reader::list(std::string_view field, std::size_t max_size)
{
    const nlohmann::json* value = find(field, nlohmann::json::value_t::array, "a list");
    if (value != nullptr && value->size() > max_size) {
        fault(field, "has " + std::to_string(value->size()) + " elements, at most " + std::to_string(max_size) +
                         " are allowed");
        return nullptr;
    }
    return value;
}

void json_reader::fault(std::string_view field, std::string reason)
{
    m_faults.push_back({join_path(m_path, field), std::move(reason)});
}

void json_reader::finish()
{
    if (!m_value.is_object()) {
        return;
    }
    for (const auto& [field, value] : m_value.items()) {
        if (!m_read_fields.contains(field)) {
            fault(field, "unknown field");
        }
    }
}

const nlohmann::json* json_reader::find(std::string_view field)
{
    if (!m_value.is_object()) {
        return nullptr;
    }
    m_read_fields.emplace(field);
    const auto it = m_value.find(field);
    if (it == m_value.end()) {
        fault(field, "missing field");
        return nullptr;
    }
    return &*it;
}

const nlohmann::json* json_reader::find(std::string_view field, nlohmann::json::value_t type, std::string_view expected)
{
    const nlohmann::json* value = find(field);
    if (value != nullptr && value->type() != type) {
        fault(field, "expected " + std::string(expected) + describe_found_type(*value));
        return nullptr;
    }
    return value;
}

std::uint64_t json_reader::unsigned_value(std::string_view field, std::uint64_t min, std::uint64_t max)
{
    const nlohmann::json* value = find(field);
    if (value == nullptr) {
        return min;
    }
    if (!value->is_number_integer()) {
        fault(field, "expected " + describe_range(min, max) + describe_found_type(*value));
        return min;
    }
    const bool negative = !value->is_number_unsigned() && value->get<std::int64_t>() < 0;
    const auto result = value->get<std::uint64_t>();
    if (negative || result < min || result > max) {
        fault(field, "expected " + describe_range(min, max) + ", found " + value->dump());
        return min;
    }
    return result;
}

std::string json_reader::truncated(const std::string& text)
{
    return text.size() <= max_quoted_length ? text : text.substr(0, max_quoted_length) + "...";
}

} // namespace lagoonferry
