#pragma once

#include "settings/settings.h"
#include "util/failure.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// The source of an effective value. A flag takes precedence over an environment variable, and that over the default.
/// Keys can also come from a file.
enum class setting_source { flag, environment, file, default_value };

/// Returns "flag", "environment", "file" or "default". Thread-safe.
std::string_view to_string(setting_source source);

/// One line of the output of `--check-settings`. The value of a key is "set" or "not set".
struct effective_setting {
    std::string name;
    std::string value;
    setting_source source = setting_source::default_value;
};

/// The settings and the source of each.
struct loaded_settings {
    settings values;
    std::vector<effective_setting> effective;
};

/// The inputs of load_settings.
struct settings_input {
    std::map<std::string, std::string> flags; ///< by setting name, only the flags that were given
    std::function<std::optional<std::string>(const std::string& name)> read_variable; ///< nothing if it is not set
    std::function<std::optional<std::string>(const std::string& path)> read_file;     ///< nothing if it cannot be read
};

/// Loads all settings. Returns nothing if any is missing or not valid; `reason` then has the code setting_invalid and
/// one line for each error with the name, the value and the valid range. No message contains a key. Thread-safe if the
/// functions of `input` are.
std::optional<loaded_settings> load_settings(const settings_input& input, failure& reason);

/// Returns inputs with the given flags, the environment of this process and the file system.
settings_input system_settings_input(std::map<std::string, std::string> flags);

/// Returns the output of `--check-settings`: one line for each setting with its value and its source. Thread-safe.
std::string describe(const loaded_settings& loaded);

} // namespace lagoonferry
