#include "gateway/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace lagoonferry {

namespace {

constexpr std::string_view line_breaks = "\r\n";

/// Returns the position after the first blank line at or after `from`, or npos. Lines end with LF or CRLF.
std::size_t end_of_event(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        std::size_t next = at + 1;
        if (next < text.size() && text[next] == '\r') {
            ++next;
        }
        if (next < text.size() && text[next] == '\n') {
            return next + 1;
        }
    }
    return std::string_view::npos;
}

} // namespace

std::string event_data(std::string_view text)
{
    constexpr std::string_view name = "data:";
    std::string data;
    bool first = true;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        line.remove_suffix(line.ends_with('\r') ? 1 : 0);
        if (!line.starts_with(name)) {
            continue;
        }
        line.remove_prefix(name.size());
        line.remove_prefix(line.starts_with(' ') ? 1 : 0);
        data += first ? "" : "\n";
        data += line;
        first = false;
    }
    return data;
}

std::optional<std::uint64_t> event_id(std::string_view text)
{
    constexpr std::string_view name = "id:";
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        if (line.starts_with(name)) {
            line.remove_prefix(name.size());
            line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
            std::uint64_t value = 0;
            const auto [last, ec] = std::from_chars(line.data(), line.data() + line.size(), value);
            return ec == std::errc{} ? std::optional(value) : std::nullopt;
        }
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    return std::nullopt;
}

bool has_fields(const stream_event& event)
{
    return event.text.find_first_not_of(line_breaks) != std::string::npos;
}

bool event_splitter::inside_event() const
{
    return m_rest.find_first_not_of(line_breaks) != std::string::npos;
}

std::vector<stream_event> event_splitter::feed(std::string_view bytes)
{
    m_rest += bytes;
    std::vector<stream_event> events;
    std::size_t begin = 0;
    std::size_t end = end_of_event(m_rest, m_searched);
    while (end != std::string::npos) {
        const std::string_view text = std::string_view(m_rest).substr(begin, end - begin);
        events.push_back({std::string(text), event_id(text)});
        begin = end;
        end = end_of_event(m_rest, begin);
    }
    m_rest.erase(0, begin);
    // The last bytes may be the start of a separator.
    constexpr std::size_t longest_separator = 3;
    m_searched = m_rest.size() > longest_separator ? m_rest.size() - longest_separator : 0;
    return events;
}

} // namespace lagoonferry
