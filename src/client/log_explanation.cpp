#include "client/log_explanation.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace lagoonferry {

namespace {

/// Length of a time stamp such as "2026-01-13 06:13:45,930".
constexpr std::size_t stamp_length = 23;

/// Sentences about the state in which requests are decided.
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

/// Returns the value of a field, or an empty text. Values of fields that hold spaces are cut at the first one.
std::string value_of(std::string_view line, std::string_view key)
{
    const std::string start = " " + std::string(key) + "=";
    const std::size_t at = line.find(start);
    if (at == std::string_view::npos) {
        return {};
    }
    const std::size_t begin = at + start.size();
    return std::string(line.substr(begin, line.find(' ', begin) - begin));
}

/// Returns the time stamp of a line, wherever it begins, or an empty text.
std::string_view stamp_of(std::string_view line)
{
    for (std::size_t at = line.find('-'); at != std::string_view::npos; at = line.find('-', at + 1)) {
        const bool fits = at >= 4 && at - 4 + stamp_length <= line.size();
        const std::string_view text = fits ? line.substr(at - 4, stamp_length) : std::string_view{};
        if (fits && text[7] == '-' && text[10] == ' ' && text[13] == ':' && text[19] == ',') {
            return text;
        }
    }
    return {};
}

/// Returns the time of day of a stamp in milliseconds.
long time_of_day_ms(std::string_view stamp)
{
    if (stamp.size() != stamp_length) {
        return 0;
    }
    const auto number = [stamp](std::size_t at, std::size_t n) {
        long value = 0;
        for (const char c : stamp.substr(at, n)) {
            value = value * 10 + (c - '0');
        }
        return value;
    };
    return ((number(11, 2) * 60 + number(14, 2)) * 60 + number(17, 2)) * 1'000 + number(20, 3);
}

bool about_state(std::string_view line)
{
    return std::ranges::any_of(
        state_sentences, [line](std::string_view sentence) { return line.find(sentence) != std::string_view::npos; });
}

/// What the lines of a request itself name.
struct request_context {
    std::set<std::string> programs;
    std::set<std::string> targets;
    std::set<std::string> sources;
    bool ended = false; ///< a gateway reports the end of the request
    long first_ms = 0;
    long last_ms = 0;
};

request_context context_of(std::span<const log_entry> lines, std::string_view request)
{
    request_context context;
    bool found = false;
    for (const log_entry& line : lines) {
        if (value_of(line.text, "request") != request) {
            continue;
        }
        const long ms = time_of_day_ms(stamp_of(line.text));
        context.first_ms = found ? std::min(context.first_ms, ms) : ms;
        context.last_ms = found ? std::max(context.last_ms, ms) : ms;
        found = true;
        context.programs.insert(value_of(line.text, "program"));
        context.targets.insert(value_of(line.text, "target"));
        context.sources.insert(line.source);
        context.ended = context.ended || line.text.find("Request ended.") != std::string::npos;
    }
    context.programs.erase("");
    context.targets.erase("");
    return context;
}

/// State that was noted this long before the first line of a request may explain it.
constexpr long state_memory_ms = 3'000;

/// Lines of the program that are this much older show how it came there.
constexpr long program_memory_ms = 15'000;

/// A gateway that starts again this long after the last line of a request without an end may have held it.
constexpr long restart_memory_ms = 15'000;

/// Returns the starts after the last line of a request of processes that did not report a stop, each after the last
/// line that the process wrote before. A gateway that dies cannot report the end of its requests.
std::vector<log_entry> starts_without_stop(std::span<const log_entry> lines, long after_ms)
{
    std::vector<log_entry> found;
    std::map<std::string, const log_entry*, std::less<>> last;
    for (const log_entry& line : lines) {
        const log_entry*& before = last[line.source];
        const long ms = time_of_day_ms(stamp_of(line.text));
        const bool starts = line.text.find("] Started.") != std::string::npos;
        const bool stopped = before == nullptr || before->text.find("] Stopped.") != std::string::npos;
        if (starts && !stopped && ms > after_ms && ms <= after_ms + restart_memory_ms) {
            found.push_back(*before);
            found.push_back(line);
        }
        before = &line;
    }
    return found;
}

bool explains(const log_entry& line, std::string_view request, const request_context& context)
{
    if (value_of(line.text, "request") == request) {
        return true;
    }
    const long ms = time_of_day_ms(stamp_of(line.text));
    if (ms > context.last_ms) {
        return false;
    }
    if (context.programs.contains(value_of(line.text, "program"))) {
        return ms >= context.first_ms - program_memory_ms;
    }
    if (ms < context.first_ms - state_memory_ms || !about_state(line.text)) {
        return false;
    }
    const std::string target = value_of(line.text, "target");
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
        const std::string_view stamp = stamp_of(line);
        if (stamp.empty()) {
            continue;
        }
        const auto before = static_cast<std::size_t>(stamp.data() - line.data());
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
    const request_context context = context_of(lines, request);
    if (context.sources.empty()) {
        return found;
    }
    std::ranges::copy_if(lines, std::back_inserter(found),
                         [&](const log_entry& line) { return explains(line, request, context); });
    if (!context.ended) {
        std::ranges::move(starts_without_stop(lines, context.last_ms), std::back_inserter(found));
    }
    std::ranges::stable_sort(found, {}, [](const log_entry& line) { return stamp_of(line.text); });
    return found;
}

} // namespace lagoonferry
