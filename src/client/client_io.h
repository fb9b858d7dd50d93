#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

namespace lagoonferry {

/// What a command reads and writes besides HTTP.
struct client_io {
    std::ostream& out;
    std::ostream& err;
    std::function<std::optional<std::string>(const std::string& name)> variable;
    std::function<std::optional<std::string>(const std::string& path)> read_file;
    std::function<bool(const std::string& path, const std::string& text, bool append)> write_file;
    std::function<void(std::chrono::seconds)> wait;
    std::function<std::int64_t()> wall_clock_ms;
};

/// Returns the streams, environment, files and clocks of this process.
client_io system_client_io();

} // namespace lagoonferry
