#pragma once

#include "settings/settings.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace lagoonferry {

/// One setting as operators see it. The flag is `--<name>`, the variable `LAGOONFERRY_<NAME>` with '_' for '-'.
struct setting_row {
    std::string_view name;
    std::string_view placeholder; ///< the argument in the help text
    std::string_view help;
    bool required;

    /// Stores the value of a text; returns whether the text lies in the range.
    bool (*assign)(settings& all, std::string_view text);

    /// Returns the effective value as text.
    std::string (*format)(const settings& all);

    /// Returns the accepted values in words.
    std::string (*range)();
};

/// All settings that have a flag, in the order of the help text. Thread-safe.
std::span<const setting_row> setting_rows();

/// Returns the environment variable of a setting. Thread-safe.
std::string variable_name(std::string_view setting);

} // namespace lagoonferry
