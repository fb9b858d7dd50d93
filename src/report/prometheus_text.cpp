#include "report/prometheus_text.h"

#include <algorithm>
#include <cstdlib>

namespace lagoonferry {

namespace {

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' || c == ':';
}

/// A recursive-descent parser for one line. After a failed step m_failed stays set.
class line_parser {
public:
    explicit line_parser(std::string_view rest) : m_rest(rest) {}

    std::optional<metric_line> parse()
    {
        metric_line line;
        line.name = parse_name();
        if (accept('{')) {
            parse_labels(line.labels);
        }
        line.value = parse_value();
        return m_failed ? std::nullopt : std::optional(line);
    }

private:
    void parse_labels(std::map<std::string, std::string>& labels)
    {
        while (!m_failed && !accept('}')) {
            const std::string label = parse_name();
            expect('=');
            expect('"');
            labels[label] = parse_quoted();
            if (!accept(',')) {
                expect('}');
                return;
            }
        }
    }

    std::string parse_name()
    {
        skip_spaces();
        std::size_t length = 0;
        while (length < m_rest.size() && is_name_character(m_rest[length])) {
            ++length;
        }
        m_failed = m_failed || length == 0;
        std::string result(m_rest.substr(0, length));
        m_rest.remove_prefix(length);
        return result;
    }

    std::string parse_quoted()
    {
        std::string result;
        while (!m_rest.empty() && m_rest.front() != '"') {
            const bool escape = m_rest.front() == '\\' && m_rest.size() > 1;
            const char c = escape ? m_rest[1] : m_rest.front();
            result += escape && c == 'n' ? '\n' : c;
            m_rest.remove_prefix(escape ? 2 : 1);
        }
        expect('"');
        return result;
    }

    // A timestamp may follow the value.
    double parse_value()
    {
        skip_spaces();
        const std::string text(m_rest.substr(0, m_rest.find_first_of(" \t")));
        char* end = nullptr;
        const double value = std::strtod(text.c_str(), &end);
        m_failed = m_failed || text.empty() || *end != '\0';
        return value;
    }

    bool accept(char c)
    {
        skip_spaces();
        if (m_rest.empty() || m_rest.front() != c) {
            return false;
        }
        m_rest.remove_prefix(1);
        return true;
    }

    void expect(char c)
    {
        if (m_rest.empty() || m_rest.front() != c) {
            m_failed = true;
            return;
        }
        m_rest.remove_prefix(1);
    }

    void skip_spaces() { m_rest.remove_prefix(std::min(m_rest.find_first_not_of(" \t"), m_rest.size())); }

    std::string_view m_rest;
    bool m_failed = false;
};

} // namespace

std::optional<std::vector<metric_line>> parse_prometheus_text(std::string_view text, failure& reason)
{
    std::vector<metric_line> lines;
    for (std::size_t number = 1; !text.empty(); ++number) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.find_first_not_of(" \t\r") == std::string_view::npos || line.front() == '#') {
            continue;
        }
        const auto parsed = line_parser(line).parse();
        if (!parsed) {
            reason = {result_code::malformed,
                      "line " + std::to_string(number) + " of the metrics is not valid Prometheus text"};
            return std::nullopt;
        }
        lines.push_back(*parsed);
    }
    return lines;
}

} // namespace lagoonferry
