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

/// Where an effective value came from. A flag precedes an environment variable, which precedes the default.
enum class setting_source { flag, environment, file, default_value };

/// Returns "flag", "environment", "file" or "default". Thread-safe.
std::string_view to_string(setting_source source);

/// One line of `--check-settings`. Keys are shown as "set" or "not set".
struct effective_setting {
    std::string name;
    std::string value;
    setting_source source = setting_source::default_value;
};

struct loaded_settings {
    settings values;
    std::vector<effective_setting> effective;
};

/// The inputs of the loader. `variable` and `file` return nothing for what does not exist.
struct settings_input {
    std::map<std::string, std::string> flags; ///< by setting name, only the flags that were given
    std::function<std::optional<std::string>(const std::string& name)> variable;
    std::function<std::optional<std::string>(const std::string& path)> file;
};

/// Reads all settings. Returns nothing when a value is wrong; `reason` then has the code setting_invalid and one line
/// for each fault with name, value and range. Keys appear in no message. Thread-safe if the functions of `input` are.
std::optional<loaded_settings> load_settings(const settings_input& input, failure& reason);

/// Returns the inputs of this process: its environment and its file system.
settings_input system_settings_input(std::map<std::string, std::string> flags);

/// Returns the text of `--check-settings`: one line for each setting with its value and its source. Thread-safe.
std::string describe(const loaded_settings& loaded);

} // namespace lagoonferry
