#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// A line of a log and its origin.
struct log_entry {
    std::string source; ///< file name, followed by ":" and the name of the process if the line has one
    std::string text;
};

/// Returns the lines of a log that have a timestamp. `source` is the name of the file; a process name before the
/// timestamp of a line is added to the source of its entry. Thread-safe.
std::vector<log_entry> read_log_entries(std::string_view source, std::string_view text);

/// Returns the lines that explain the outcome of a request, in order of time: its own lines, those of its program, and
/// those of its gateways about targets, owners, the store and themselves shortly before and during the request. If no
/// gateway logged the end of the request, the result also has the next starts of gateways that did not log a stop, each
/// after the last line before it. Empty if no line names the request. Precondition: the lines of each source are in
/// order of time. Thread-safe.
std::vector<log_entry> explain_request(std::span<const log_entry> lines, std::string_view request);

} // namespace lagoonferry
