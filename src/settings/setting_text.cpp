#include "settings/setting_text.h"

#include <algorithm>
#include <array>

namespace lagoonferry {

namespace {

struct level_row {
    log_level level;
    std::string_view name;
};

constexpr std::array level_rows{
    level_row{log_level::debug, "debug"}, level_row{log_level::info, "info"}, level_row{log_level::warning, "warning"},
    level_row{log_level::error, "error"}, level_row{log_level::off, "off"},
};

constexpr std::array<std::string_view, 11> log_part_names{"main",     "entry",      "program",  "journal",
                                                          "dispatch", "membership", "document", "platform",
                                                          "peer",     "client",     "standin"};

constexpr std::size_t max_seeds = 32;

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true) {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

template <class Range, class Text>
std::string join(const Range& items, Text text)
{
    std::string result;
    for (const auto& item : items) {
        result += (result.empty() ? "" : ",") + text(item);
    }
    return result;
}

bool parse_log_part(std::string_view text, std::map<std::string, log_level>& parts)
{
    const auto equals = text.find('=');
    if (equals == std::string_view::npos) {
        return false;
    }
    const std::string_view name = text.substr(0, equals);
    log_level level = log_level::info;
    if (std::ranges::find(log_part_names, name) == log_part_names.end() ||
        !parse_setting(text.substr(equals + 1), level)) {
        return false;
    }
    return parts.emplace(name, level).second;
}

} // namespace

bool parse_setting(std::string_view text, ip_address& value)
{
    if (!is_ip_address(text)) {
        return false;
    }
    value.text = text;
    return true;
}

std::string format_setting(const ip_address& value)
{
    return value.text;
}

std::string setting_range(const ip_address& /*type*/)
{
    return "an IPv4 or IPv6 address";
}

bool parse_setting(std::string_view text, std::optional<ip_address>& value)
{
    return parse_setting(text, value.emplace());
}

std::string format_setting(const std::optional<ip_address>& value)
{
    return value ? value->text : "";
}

std::string setting_range(const std::optional<ip_address>& /*type*/)
{
    return setting_range(ip_address{});
}

bool parse_setting(std::string_view text, std::optional<endpoint>& value)
{
    value = parse_endpoint(text);
    return value.has_value();
}

std::string format_setting(const std::optional<endpoint>& value)
{
    return value ? to_string(*value) : "";
}

std::string setting_range(const std::optional<endpoint>& /*type*/)
{
    return "an IP address and a port from 1 to 65535, such as 10.0.0.1:80 or [::1]:80";
}

bool parse_setting(std::string_view text, std::vector<endpoint>& value)
{
    value.clear();
    if (text.empty()) {
        return true;
    }
    for (const std::string_view part : split(text, ',')) {
        const auto address = parse_endpoint(part);
        if (!address || value.size() == max_seeds) {
            return false;
        }
        value.push_back(*address);
    }
    return true;
}

std::string format_setting(const std::vector<endpoint>& value)
{
    return join(value, [](const endpoint& item) { return to_string(item); });
}

std::string setting_range(const std::vector<endpoint>& /*type*/)
{
    return "at most " + std::to_string(max_seeds) + " of " + setting_range(std::optional<endpoint>{}) +
           ", separated by commas";
}

bool parse_setting(std::string_view text, log_level& value)
{
    const auto* it = std::ranges::find(level_rows, text, &level_row::name);
    if (it == level_rows.end()) {
        return false;
    }
    value = it->level;
    return true;
}

std::string format_setting(const log_level& value)
{
    return std::string(std::ranges::find(level_rows, value, &level_row::level)->name);
}

std::string setting_range(const log_level& /*type*/)
{
    return join(level_rows, [](const level_row& row) { return std::string(row.name); });
}

bool parse_setting(std::string_view text, std::map<std::string, log_level>& value)
{
    value.clear();
    if (text.empty()) {
        return true;
    }
    const auto parts = split(text, ',');
    return std::ranges::all_of(parts, [&](std::string_view part) { return parse_log_part(part, value); });
}

std::string format_setting(const std::map<std::string, log_level>& value)
{
    return join(value, [](const auto& item) { return item.first + "=" + format_setting(item.second); });
}

std::string setting_range(const std::map<std::string, log_level>& /*type*/)
{
    return "<part>=<level>, separated by commas, with the parts " +
           join(log_part_names, [](std::string_view name) { return std::string(name); }) + " and the levels " +
           setting_range(log_level{});
}

bool parse_setting(std::string_view text, folder_path& value)
{
    value.text = text;
    return text.empty() || text.starts_with('/');
}

std::string format_setting(const folder_path& value)
{
    return value.text;
}

std::string setting_range(const folder_path& /*type*/)
{
    return "an absolute path, or empty for no folder";
}

} // namespace lagoonferry
