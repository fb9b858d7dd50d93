#pragma once

#include "gateway/gateway_role.h"
#include "net/http_types.h"
#include "settings/docopt_args.h"
#include "util/log.h"

#include <iosfwd>
#include <optional>
#include <string>

namespace lagoonferry {

/// What the command line and the settings file of a role on the platform say. Without settings the process ends with
/// `status`.
struct role_start {
    std::optional<gateway_settings> settings;
    std::string settings_path;
    log_level level = log_level::info;
    int status = 0;
};

/// Reads --log-level, --settings and --check-settings, and the settings file. Writes errors to `err`.
role_start read_role_options(const gateway_platform& platform, const docopt_values& values, std::ostream& out,
                             std::ostream& err);

/// Reads a settings file. Returns nothing, and sets `reason`, if it cannot be read or is invalid.
std::optional<gateway_settings> load_role_settings(const gateway_platform& platform, const std::string& path,
                                                   failure& reason);

/// Returns the address of the store, or nothing if it is not an IP address.
std::optional<tcp::endpoint> store_endpoint(const gateway_settings& settings);

} // namespace lagoonferry
