#include "backends/sse_parser.h"

namespace lagoonferry {

sse_parser::sse_parser(event_handler on_event) : m_on_event(std::move(on_event)) {}

bool sse_parser::feed(std::string_view chunk)
{
    m_partial.append(chunk);
    std::size_t start = 0;
    for (std::size_t end = m_partial.find('\n'); end != std::string::npos; end = m_partial.find('\n', start)) {
        if (!handle_line(std::string_view(m_partial).substr(start, end - start))) {
            return false;
        }
        start = end + 1;
    }
    m_partial.erase(0, start);
    return true;
}

bool sse_parser::handle_line(std::string_view line)
{
    constexpr std::string_view prefix = "data:";
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (!line.starts_with(prefix)) {
        return true;
    }
    line.remove_prefix(prefix.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    return m_on_event(line);
}

} // namespace lagoonferry
