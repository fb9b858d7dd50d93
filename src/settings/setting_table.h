#pragma once

#include "settings/settings.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace lagoonferry {

/// Describes one setting. Its flag is `--<name>`, its environment variable `LAGOONFERRY_<NAME>` with '_' for '-'.
struct setting_row {
    std::string_view name;
    std::string_view placeholder; ///< name of the argument in the help text
    std::string_view help;
    bool required;

    /// Parses `text` and stores the value. Returns whether it is valid.
    bool (*assign)(settings& all, std::string_view text);

    /// Formats the current value so that `assign` can parse it.
    std::string (*format)(const settings& all);

    /// Returns a description of the valid values.
    std::string (*range)();
};

/// Returns all settings that have a flag, in the order of the help text. Thread-safe.
std::span<const setting_row> setting_rows();

/// Returns the name of the environment variable of a setting. Thread-safe.
std::string variable_name(std::string_view setting);

} // namespace lagoonferry
