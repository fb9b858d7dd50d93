#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// A line of a process's log and where it was found.
struct log_entry {
    std::string source; ///< name of the file
    std::string text;
};

/// Returns the entries of a log's text. A name before the time of a line is added to its source. Thread-safe.
std::vector<log_entry> read_log_entries(std::string_view source, std::string_view text);

/// Returns the lines that explain what became of a request, in order of time: its own, those of its program, and what
/// its gateways noted about the targets, owners, the store and themselves shortly before and during it. If no gateway
/// reports its end, also the next starts of gateways that did not stop, with their last lines before. Empty if no line
/// names the request. Precondition: the lines of each source are in order of time. Thread-safe.
std::vector<log_entry> explain_request(std::span<const log_entry> lines, std::string_view request);

} // namespace lagoonferry
