#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

namespace lagoonferry {

/// The streams, environment, files and clocks that a command uses. Tests replace them.
struct client_io {
    std::ostream& out;
    std::ostream& err;
    std::function<std::optional<std::string>(const std::string& name)> read_variable; ///< nothing if it is not set
    std::function<std::optional<std::string>(const std::string& path)> read_file;     ///< nothing if it cannot be read
    /// Returns whether the whole text was written.
    std::function<bool(const std::string& path, const std::string& text, bool append)> write_file;
    std::function<void(std::chrono::seconds)> wait;
    std::function<std::int64_t()> wall_clock_ms; ///< milliseconds since 1970
};

/// Returns the streams, environment, files and clocks of this process.
client_io system_client_io();

} // namespace lagoonferry
