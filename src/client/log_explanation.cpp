#include "client/log_explanation.h"

#include "accounts/account_turn_id.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace lagoonferry {

namespace {

/// Length of a timestamp such as "2026-01-13 06:13:45,930".
constexpr std::size_t timestamp_length = 23;

/// Log sentences about state that decides the outcome of requests.
constexpr std::array state_sentences{
    std::string_view("A target has changed."),
    std::string_view("The owner of a budget does not answer."),
    std::string_view("The store"),
    std::string_view("A routing document is in force."),
    std::string_view("This process was paused."),
    std::string_view("Started."),
    std::string_view("Stopping."),
    std::string_view("Stopped."),
    std::string_view("A target cannot be reached."),
};

/// Log sentences of history nodes that decide whether turns are found and kept.
constexpr std::array history_sentences{
    std::string_view("A history node"),          std::string_view("The turns of another node"),
    std::string_view("Turns were read"),         std::string_view("Turns cannot be written"),
    std::string_view("This node has all turns"), std::string_view("This node is emptied"),
};

/// Returns the value of a field, or an empty string. A value with spaces is cut at the first one.
std::string field_value(std::string_view line, std::string_view key)
{
    const std::string start = " " + std::string(key) + "=";
    const std::size_t at = line.find(start);
    if (at == std::string_view::npos) {
        return {};
    }
    const std::size_t begin = at + start.size();
    return std::string(line.substr(begin, line.find(' ', begin) - begin));
}

/// Returns the timestamp of a line, at any position, or an empty string.
std::string_view timestamp_of(std::string_view line)
{
    for (std::size_t at = line.find('-'); at != std::string_view::npos; at = line.find('-', at + 1)) {
        const bool in_range = at >= 4 && at - 4 + timestamp_length <= line.size();
        const std::string_view text = in_range ? line.substr(at - 4, timestamp_length) : std::string_view{};
        if (in_range && text[7] == '-' && text[10] == ' ' && text[13] == ':' && text[19] == ',') {
            return text;
        }
    }
    return {};
}

/// Returns the time of day of a timestamp in milliseconds, or 0 if there is none.
long time_of_day_ms(std::string_view timestamp)
{
    if (timestamp.size() != timestamp_length) {
        return 0;
    }
    const auto number = [timestamp](std::size_t at, std::size_t n) {
        long value = 0;
        for (const char c : timestamp.substr(at, n)) {
            value = value * 10 + (c - '0');
        }
        return value;
    };
    return ((number(11, 2) * 60 + number(14, 2)) * 60 + number(17, 2)) * 1'000 + number(20, 3);
}

bool has_any(std::string_view line, std::span<const std::string_view> sentences)
{
    return std::ranges::any_of(
        sentences, [line](std::string_view sentence) { return line.find(sentence) != std::string_view::npos; });
}

bool is_state_line(std::string_view line)
{
    return has_any(line, state_sentences);
}

/// The programs, targets and log sources that the lines of a request name, and their time range (time of day).
struct request_context {
    std::set<std::string> programs;
    std::set<std::string> targets;
    std::set<std::string> turns; ///< kept turns: the one that the request answers and the one that it continues
    std::set<std::string> sources;
    bool ended = false; ///< a gateway logged the end of the request
    long first_ms = 0;
    long last_ms = 0;
};

request_context find_request_context(std::span<const log_entry> lines, std::string_view request)
{
    request_context context;
    bool found = false;
    for (const log_entry& line : lines) {
        if (field_value(line.text, "request") != request) {
            continue;
        }
        const long ms = time_of_day_ms(timestamp_of(line.text));
        context.first_ms = found ? std::min(context.first_ms, ms) : ms;
        context.last_ms = found ? std::max(context.last_ms, ms) : ms;
        found = true;
        if (const std::string previous = field_value(line.text, "previous"); !previous.empty()) {
            context.turns.insert({previous, std::string(request)});
        }
        context.programs.insert(field_value(line.text, "program"));
        context.targets.insert(field_value(line.text, "target"));
        context.sources.insert(line.source);
        context.ended = context.ended || line.text.find("Request ended.") != std::string::npos;
    }
    context.programs.erase("");
    context.targets.erase("");
    return context;
}

/// Lines about state are included from this long before the first line of the request.
constexpr long state_window_ms = 3'000;

/// Earlier lines of the same program are included from this long before the first line of the request. They show what
/// led to it.
constexpr long program_window_ms = 15'000;

/// If the end of a request was not logged, restarts of gateways are included up to this long after its last line.
constexpr long restart_window_ms = 15'000;

/// Returns the starts of processes that did not log a stop, within restart_window_ms after `after_ms`. Each is preceded
/// by the last line of the process before it. A gateway that crashes cannot log the end of its requests.
std::vector<log_entry> unclean_restarts(std::span<const log_entry> lines, long after_ms)
{
    std::vector<log_entry> found;
    std::map<std::string, const log_entry*, std::less<>> last_lines;
    for (const log_entry& line : lines) {
        const log_entry*& before = last_lines[line.source];
        const long ms = time_of_day_ms(timestamp_of(line.text));
        const bool started = line.text.find("] Started.") != std::string::npos;
        const bool stopped = before == nullptr || before->text.find("] Stopped.") != std::string::npos;
        if (started && !stopped && ms > after_ms && ms <= after_ms + restart_window_ms) {
            found.push_back(*before);
            found.push_back(line);
        }
        before = &line;
    }
    return found;
}

/// Returns whether a line belongs to the explanation of a request.
bool is_relevant(const log_entry& line, std::string_view request, const request_context& context)
{
    if (field_value(line.text, "request") == request) {
        return true;
    }
    if (context.turns.contains(std::string(request_id_of(field_value(line.text, "turn"))))) {
        return true;
    }
    const long ms = time_of_day_ms(timestamp_of(line.text));
    if (ms > context.last_ms) {
        return false;
    }
    if (context.programs.contains(field_value(line.text, "program"))) {
        return ms >= context.first_ms - program_window_ms;
    }
    if (!context.turns.empty() && has_any(line.text, history_sentences)) {
        return ms >= context.first_ms - program_window_ms;
    }
    if (ms < context.first_ms - state_window_ms || !is_state_line(line.text)) {
        return false;
    }
    const std::string target = field_value(line.text, "target");
    return context.sources.contains(line.source) && (target.empty() || context.targets.contains(target));
}

} // namespace

std::vector<log_entry> read_log_entries(std::string_view source, std::string_view text)
{
    std::vector<log_entry> entries;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        const std::string_view line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        const std::string_view timestamp = timestamp_of(line);
        if (timestamp.empty()) {
            continue;
        }
        const auto before = static_cast<std::size_t>(timestamp.data() - line.data());
        std::string_view name = line.substr(0, before);
        name = name.substr(0, name.find_last_not_of(' ') + 1);
        name = name.substr(name.find_last_of(' ') + 1);
        std::string from(source);
        if (!name.empty()) {
            from += ":";
            from += name;
        }
        entries.push_back({std::move(from), std::string(line.substr(before))});
    }
    return entries;
}

std::vector<log_entry> explain_request(std::span<const log_entry> lines, std::string_view request)
{
    std::vector<log_entry> found;
    const request_context context = find_request_context(lines, request);
    if (context.sources.empty()) {
        return found;
    }
    std::ranges::copy_if(lines, std::back_inserter(found),
                         [&](const log_entry& line) { return is_relevant(line, request, context); });
    if (!context.ended) {
        std::ranges::move(unclean_restarts(lines, context.last_ms), std::back_inserter(found));
    }
    std::ranges::stable_sort(found, {}, [](const log_entry& line) { return timestamp_of(line.text); });
    return found;
}

} // namespace lagoonferry
