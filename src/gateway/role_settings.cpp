#include "gateway/role_settings.h"

#include "settings/exit_status.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <ostream>
#include <sstream>

namespace lagoonferry {

namespace {

std::optional<log_level> parse_log_level(std::string_view text)
{
    struct row {
        std::string_view name;
        log_level level;
    };
    constexpr std::array rows{row{"debug", log_level::debug}, row{"info", log_level::info},
                              row{"warning", log_level::warning}, row{"error", log_level::error},
                              row{"off", log_level::off}};
    const auto* it = std::ranges::find(rows, text, &row::name);
    return it == rows.end() ? std::nullopt : std::optional(it->level);
}

} // namespace

std::optional<gateway_settings> load_role_settings(const gateway_platform& platform, const std::string& path,
                                                   failure& reason)
{
    std::ifstream in(path);
    if (!in) {
        reason = {result_code::setting_invalid, "cannot open the settings file " + path};
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return platform.read_settings(text.str(), reason);
}

std::optional<tcp::endpoint> store_endpoint(const gateway_settings& settings)
{
    error_code ec;
    const auto ip = asio::ip::make_address(settings.store.ip, ec);
    return ec ? std::nullopt : std::optional(tcp::endpoint(ip, settings.store.port));
}

role_start read_role_options(const gateway_platform& platform, const docopt_values& values, std::ostream& out,
                             std::ostream& err)
{
    role_start start;
    const auto level = parse_log_level(argument_value(values, "--log-level").value_or("info"));
    if (!level) {
        err << "--log-level: allowed are debug, info, warning, error and off\n";
        start.status = exit_usage;
        return start;
    }
    start.level = *level;
    start.settings_path = argument_value(values, "--settings").value_or(platform.settings_path());
    failure reason;
    start.settings = load_role_settings(platform, start.settings_path, reason);
    if (!start.settings) {
        err << "settings: " << reason.text << '\n';
        start.status = exit_refused;
    }
    else if (has_flag(values, "--check-settings")) {
        out << "settings of " << start.settings->id << " are valid\n";
        start.settings.reset();
        start.status = exit_done;
    }
    return start;
}

} // namespace lagoonferry
