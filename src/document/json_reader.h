#pragma once

#include "document/document_schema.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// Append a field name, which is escaped, or an index to a JSON pointer. Thread-safe.
std::string join_path(const std::string& path, std::string_view field);
std::string join_path(const std::string& path, std::size_t index);

/// Reads the fields of one JSON object into typed values and records each fault with its path. All fields are required.
/// Not thread-safe.
class json_reader {
public:
    /// `value` and `faults` must outlive the reader. Records a fault if `value` is not an object.
    json_reader(const nlohmann::json& value, std::string path, std::vector<document_fault>& faults);

    /// Reads a string that must satisfy `valid`. `expected` describes valid strings in the fault.
    template <class Predicate>
    void string(std::string_view field, std::string& result, std::string_view expected, Predicate valid)
    {
        const nlohmann::json* value = find(field, nlohmann::json::value_t::string, "a string");
        if (value == nullptr) {
            return;
        }
        result = value->get<std::string>();
        if (!valid(result)) {
            fault(field, "\"" + truncated(result) + "\" is not " + std::string(expected));
        }
    }

    /// Reads a name made of letters, digits, '.', '_' and '-'.
    void name(std::string_view field, std::string& result, std::size_t max_length);

    /// Reads an integer between `min` and `max`, both included.
    template <class T>
    void integer(std::string_view field, T& result, std::uint64_t min, std::uint64_t max)
    {
        result = static_cast<T>(unsigned_value(field, min, max));
    }

    /// Reads a number between `min` and `max`, both included.
    void number(std::string_view field, double& result, double min, double max);

    void boolean(std::string_view field, bool& result);

    /// Returns a field that is an object or a list, or null after recording a fault.
    const nlohmann::json* object(std::string_view field);
    const nlohmann::json* list(std::string_view field, std::size_t max_size);

    /// Records a fault of a field.
    void fault(std::string_view field, std::string reason);

    /// Records a fault for each field that is present but was not read.
    void finish();

    const std::string& path() const { return m_path; }

private:
    const nlohmann::json* find(std::string_view field);
    const nlohmann::json* find(std::string_view field, nlohmann::json::value_t type, std::string_view expected);
    std::uint64_t unsigned_value(std::string_view field, std::uint64_t min, std::uint64_t max);
    static std::string truncated(const std::string& text);

    const nlohmann::json& m_value;
    std::string m_path;
    std::vector<document_fault>& m_faults;
    std::set<std::string, std::less<>> m_read_fields;
};

} // namespace lagoonferry
