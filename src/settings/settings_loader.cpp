#include "settings/settings_loader.h"

#include "settings/setting_table.h"

#include <array>
#include <cstdlib>
#include <fstream>
#include <iterator>

namespace lagoonferry {

namespace {

constexpr std::size_t min_key_bytes = 16;
constexpr std::size_t max_key_bytes = 1'024;

/// Describes a key. It is read from the file that the setting `<name>-file` names, or directly from its environment
/// variable; it has no flag.
struct key_row {
    std::string_view name;
    secret key_settings::*member;
    bool required;
};

constexpr std::array key_rows{
    key_row{"cluster-key", &key_settings::cluster, true},
    key_row{"operator-key", &key_settings::operators, false},
};

/// A value as it was given, with its source.
struct sourced_value {
    std::string text;
    setting_source source = setting_source::default_value;
};

/// Collects the settings and all errors in them.
class settings_builder {
public:
    explicit settings_builder(const settings_input& input) : m_input(input) {}

    void load_row(const setting_row& row)
    {
        const auto given = lookup(row.name);
        if (given && !row.assign(m_result.values, given->text)) {
            add_error(row.name, "the value \"" + given->text + "\" is not valid", row.range());
        }
        if (!given && row.required) {
            add_error(row.name, "a value is required", row.range());
        }
        m_result.effective.push_back({std::string(row.name), row.format(m_result.values),
                                      given ? given->source : setting_source::default_value});
    }

    void load_key(const key_row& row)
    {
        const auto given = lookup_key(row);
        const auto size = given ? given->text.size() : 0;
        if (given && (size < min_key_bytes || size > max_key_bytes)) {
            add_error(row.name, "the key has " + std::to_string(size) + " bytes", key_range());
        }
        if (!given && row.required && !m_key_file_failed) {
            add_error(row.name, "a key is required", key_range());
        }
        if (given) {
            m_result.values.keys.*row.member = secret(given->text);
        }
        m_result.effective.push_back(
            {std::string(row.name), given ? "set" : "not set", given ? given->source : setting_source::default_value});
    }

    void check_consistency()
    {
        const timing_settings& timing = m_result.values.timing;
        if (timing.suspicion_ms <= timing.heartbeat_ms) {
            add_error("suspicion-ms", "the value " + std::to_string(timing.suspicion_ms) + " is too low",
                      "above heartbeat-ms, which is " + std::to_string(timing.heartbeat_ms));
        }
        if (timing.presumed_down_ms <= timing.suspicion_ms) {
            add_error("presumed-down-ms", "the value " + std::to_string(timing.presumed_down_ms) + " is too low",
                      "above suspicion-ms, which is " + std::to_string(timing.suspicion_ms));
        }
        const std::string& address = advertised_ip(m_result.values.http).text;
        if (address == "0.0.0.0" || address == "::") {
            add_error("advertised-address", "the address \"" + address + "\" cannot be reached by callers",
                      "an address at which callers reach this instance");
        }
    }

    std::optional<loaded_settings> finish(failure& reason)
    {
        if (m_errors.empty()) {
            return std::move(m_result);
        }
        reason = {result_code::setting_invalid, m_errors};
        return std::nullopt;
    }

private:
    static std::string key_range()
    {
        return std::to_string(min_key_bytes) + " to " + std::to_string(max_key_bytes) + " bytes";
    }

    void add_error(std::string_view name, const std::string& what, const std::string& range)
    {
        m_errors += m_errors.empty() ? "" : "\n";
        m_errors += "setting " + std::string(name) + ": " + what + "; expected " + range;
    }

    std::optional<sourced_value> lookup(std::string_view name) const
    {
        const auto it = m_input.flags.find(std::string(name));
        if (it != m_input.flags.end()) {
            return sourced_value{it->second, setting_source::flag};
        }
        if (const auto value = m_input.read_variable(variable_name(name))) {
            return sourced_value{*value, setting_source::environment};
        }
        return std::nullopt;
    }

    std::optional<sourced_value> lookup_key(const key_row& row)
    {
        m_key_file_failed = false;
        const std::string file_setting = std::string(row.name) + "-file";
        const auto path = lookup(file_setting);
        if (path && path->source == setting_source::flag) {
            return read_key(file_setting, path->text);
        }
        if (auto value = m_input.read_variable(variable_name(row.name))) {
            return sourced_value{std::move(*value), setting_source::environment};
        }
        return path ? read_key(file_setting, path->text) : std::nullopt;
    }

    std::optional<sourced_value> read_key(const std::string& file_setting, const std::string& path)
    {
        auto text = m_input.read_file(path);
        if (!text) {
            m_key_file_failed = true;
            add_error(file_setting, "the file \"" + path + "\" cannot be read", "a readable file");
            return std::nullopt;
        }
        while (!text->empty() && (text->back() == '\n' || text->back() == '\r')) {
            text->pop_back();
        }
        return sourced_value{std::move(*text), setting_source::file};
    }

    const settings_input& m_input;
    loaded_settings m_result;
    std::string m_errors;
    bool m_key_file_failed = false;
};

std::optional<std::string> read_variable(const std::string& name)
{
    const char* value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(in), {});
}

} // namespace

std::string_view to_string(setting_source source)
{
    switch (source) {
    case setting_source::flag:
        return "flag";
    case setting_source::environment:
        return "environment";
    case setting_source::file:
        return "file";
    case setting_source::default_value:
        break;
    }
    return "default";
}

std::optional<loaded_settings> load_settings(const settings_input& input, failure& reason)
{
    settings_builder builder(input);
    for (const setting_row& row : setting_rows()) {
        builder.load_row(row);
    }
    for (const key_row& row : key_rows) {
        builder.load_key(row);
    }
    builder.check_consistency();
    return builder.finish(reason);
}

settings_input system_settings_input(std::map<std::string, std::string> flags)
{
    return {std::move(flags), read_variable, read_file};
}

std::string describe(const loaded_settings& loaded)
{
    std::string text;
    for (const effective_setting& item : loaded.effective) {
        text += item.name + " = " + item.value + " (" + std::string(to_string(item.source)) + ")\n";
    }
    return text;
}

} // namespace lagoonferry
