#pragma once

#include <sstream>
#include <string>
#include <string_view>
#include <utility>

namespace lagoonferry {

/// The components that log. Each has its own logger, whose name is the prefix of its lines.
enum class log_part { main, entry, program, journal, dispatch, membership, document, platform, peer, client, standin };

enum class log_level { debug, info, warning, error, off };

/// Writes log lines of all parts with at least `level` to standard error. Call it before other threads start.
void configure_log(log_level level);

/// Writes log lines of all parts with at least `level` to standard output, without blocking and with a rate limit;
/// lines beyond it are dropped. Call it before other threads start.
void configure_nonblocking_log(log_level level);

/// Sets the level of one part, named as in its log lines. Returns false for an unknown name. Thread-safe.
bool configure_log_part(std::string_view part, log_level level);

/// Returns whether a line of this part and level is written. Thread-safe.
bool log_enabled(log_part part, log_level level);

/// Writes one line, whatever the level of the part. Thread-safe.
void log_line(log_part part, log_level level, const std::string& text);

/// One key=value field after the sentence of a log line.
template <class T>
struct field {
    std::string_view key;
    const T& value;
    field(std::string_view k, const T& v) : key(k), value(v) {}
};

/// Writes a sentence and its fields if the level is enabled. Thread-safe.
template <class... Fields>
void log(log_part part, log_level level, std::string_view sentence, const Fields&... fields)
{
    if (!log_enabled(part, level)) {
        return;
    }
    std::ostringstream out;
    out << sentence;
    ((out << ' ' << fields.key << '=' << fields.value), ...);
    log_line(part, level, out.str());
}

} // namespace lagoonferry
