#include "settings/role_options.h"

#include "settings/docopt_args.h"
#include "settings/setting_table.h"

#include <ostream>

namespace lagoonferry {

namespace {

// docopt ends the name and argument of an option at two consecutive spaces, so both stand on one line.
constexpr std::string_view other_options =
    R"(  --cluster-key-file=PATH  file with the shared key of all processes, used for datagrams between them
        (16 to 1024 bytes; the variable LAGOONFERRY_CLUSTER_KEY can hold the key itself; required)
  --operator-key-file=PATH  file with the key that operators authenticate with
        (16 to 1024 bytes; the variable LAGOONFERRY_OPERATOR_KEY can hold the key itself)
  --check-settings  print the effective settings with their sources, then exit
  -h, --help  print this help
)";

std::string option_text(const setting_row& row, const settings& defaults)
{
    const std::string value = row.format(defaults);
    std::string text = "  --" + std::string(row.name) + "=" + std::string(row.placeholder);
    text += "  " + std::string(row.help) + "\n        (" + row.range();
    if (row.required) {
        return text + "; required)\n";
    }
    return text + (value.empty() ? ")\n" : "; default " + value + ")\n");
}

std::map<std::string, std::string> given_flags(const docopt_values& values)
{
    std::map<std::string, std::string> flags;
    for (const auto& [name, value] : values) {
        if (value.isString() && name.starts_with("--")) {
            flags.emplace(name.substr(2), value.asString());
        }
    }
    return flags;
}

} // namespace

std::string role_usage(std::string_view role)
{
    const std::string name = "lagoonferry " + std::string(role);
    std::string text = "Usage:\n  " + name + " [options]\n\n";
    text += "Each option can also be set by an environment variable: --http-port by LAGOONFERRY_HTTP_PORT.\n"
            "An option takes precedence over its variable, and a variable over the default.\n\nOptions:\n";
    const settings defaults;
    for (const setting_row& row : setting_rows()) {
        text += option_text(row, defaults);
    }
    return text + std::string(other_options);
}

role_options_result read_role_options(std::string_view role, const std::vector<std::string>& args, std::ostream& out,
                                      std::ostream& err)
{
    const docopt_result parsed = parse_docopt(std::string(role), role_usage(role), args, out, err);
    if (!parsed.values) {
        return {std::nullopt, parsed.status};
    }
    failure reason;
    auto loaded = load_settings(system_settings_input(given_flags(*parsed.values)), reason);
    if (!loaded) {
        err << to_string(reason.code) << " (" << static_cast<int>(reason.code) << ")\n" << reason.text << '\n';
        return {std::nullopt, exit_usage};
    }
    if (has_flag(*parsed.values, "--check-settings")) {
        out << describe(*loaded);
        return {std::nullopt, exit_done};
    }
    return {std::move(loaded->values), exit_done};
}

void apply_log_settings(const log_settings& log)
{
    configure_log(log.level);
    for (const auto& [part, level] : log.parts) {
        configure_log_part(part, level);
    }
}

} // namespace lagoonferry
