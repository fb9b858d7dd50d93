#pragma once

#include "settings/settings.h"

#include <charconv>
#include <string>
#include <string_view>

namespace lagoonferry {

/// Conversion of setting values from and to strings. parse_setting parses and stores a value and returns whether it is
/// valid, format_setting returns a string that parse_setting accepts, and setting_range describes the valid strings;
/// its argument only selects the type. Thread-safe.
template <class T, T Min, T Max>
bool parse_setting(std::string_view text, ranged<T, Min, Max>& value)
{
    T number{};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc{} || end != text.data() + text.size()) {
        return false;
    }
    const auto checked = ranged<T, Min, Max>::from(number);
    if (!checked) {
        return false;
    }
    value = *checked;
    return true;
}

template <class T, T Min, T Max>
std::string format_setting(const ranged<T, Min, Max>& value)
{
    return std::to_string(value.value());
}

template <class T, T Min, T Max>
std::string setting_range(const ranged<T, Min, Max>& /*type*/)
{
    return std::to_string(Min) + " to " + std::to_string(Max);
}

template <std::size_t N>
bool parse_setting(std::string_view text, label<N>& value)
{
    const auto checked = label<N>::from(text);
    if (checked) {
        value = *checked;
    }
    return checked.has_value();
}

template <std::size_t N>
std::string format_setting(const label<N>& value)
{
    return value.text();
}

template <std::size_t N>
std::string setting_range(const label<N>& /*type*/)
{
    return "1 to " + std::to_string(N) + " letters, digits, '.', '_', '-'";
}

bool parse_setting(std::string_view text, ip_address& value);
std::string format_setting(const ip_address& value);
std::string setting_range(const ip_address& type);

bool parse_setting(std::string_view text, std::optional<ip_address>& value);
std::string format_setting(const std::optional<ip_address>& value);
std::string setting_range(const std::optional<ip_address>& type);

bool parse_setting(std::string_view text, std::optional<endpoint>& value);
std::string format_setting(const std::optional<endpoint>& value);
std::string setting_range(const std::optional<endpoint>& type);

bool parse_setting(std::string_view text, std::vector<endpoint>& value);
std::string format_setting(const std::vector<endpoint>& value);
std::string setting_range(const std::vector<endpoint>& type);

bool parse_setting(std::string_view text, log_level& value);
std::string format_setting(const log_level& value);
std::string setting_range(const log_level& type);

bool parse_setting(std::string_view text, std::map<std::string, log_level>& value);
std::string format_setting(const std::map<std::string, log_level>& value);
std::string setting_range(const std::map<std::string, log_level>& type);

bool parse_setting(std::string_view text, folder_path& value);
std::string format_setting(const folder_path& value);
std::string setting_range(const folder_path& type);

} // namespace lagoonferry
