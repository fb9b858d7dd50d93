#include "report/burn_html.h"

#include "report/burn_text.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace lagoonferry {

namespace {

constexpr double plot_width = 720;
constexpr double plot_height = 160;
constexpr double bar_height = 18;
constexpr double name_width = 160;
constexpr std::size_t max_bars = 15;

constexpr const char* page_start = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn report</title>
<style>
body { font: 14px sans-serif; margin: 2em; max-width: 60em; }
table { border-collapse: collapse; margin: 0.5em 0; }
td, th { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: right; }
.fast { color: #b00000; } .slow { color: #b06000; }
svg text { font: 12px sans-serif; }
</style>
</head>
<body>
<h1>Service-level burn report</h1>
)";

std::string escape_html(std::string_view text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

void write_windows(std::ostream& out, const class_burn& burn)
{
    out << "<table><tr><th>window</th><th>covered</th><th>bad</th><th>total</th><th>burn rate</th></tr>\n";
    for (const window_burn& window : burn.windows) {
        out << "<tr><td>" << duration_text(window.length) << "</td><td>" << duration_text(window.covered) << "</td><td>"
            << window.bad << "</td><td>" << window.total << "</td><td>" << window.rate << "</td></tr>\n";
    }
    out << "</table>\n";
}

/// Plots the burn rate over time. The dashed line marks rate 1, at which the budget is used up exactly.
void write_rates(std::ostream& out, const burn_report& report, const class_burn& burn)
{
    double top = 2;
    for (const rate_point& point : burn.rates) {
        top = std::max(top, point.rate);
    }
    const auto span = static_cast<double>(std::max<std::int64_t>(1, report.to_ms - report.from_ms));
    const auto y_of = [&](double rate) { return plot_height * (1 - rate / top); };
    out << R"(<svg width=")" << plot_width << R"(" height=")" << plot_height + 20 << R"(" role="img">)"
        << R"(<rect width=")" << plot_width << R"(" height=")" << plot_height << R"(" fill="#f6f6f6"/>)"
        << R"(<line x1="0" x2=")" << plot_width << R"(" y1=")" << y_of(1) << R"(" y2=")" << y_of(1)
        << R"(" stroke="#888" stroke-dasharray="4"/>)"
        << R"(<polyline fill="none" stroke="#b00000" points=")";
    for (const rate_point& point : burn.rates) {
        out << plot_width * static_cast<double>(point.time_ms - report.from_ms) / span << ',' << y_of(point.rate)
            << ' ';
    }
    out << R"("/><text x="4" y="14">burn rate, highest )" << top << R"(</text><text x="4" y=")" << plot_height + 14
        << R"(">)" << time_text(report.from_ms) << " to " << time_text(report.to_ms) << " UTC</text></svg>\n";
}

/// Plots one bar for each contributor with bad events, at most max_bars; outliers are red.
void write_bars(std::ostream& out, const char* title, const std::vector<burn_contributor>& contributors)
{
    std::vector<burn_contributor> shown;
    std::ranges::copy_if(contributors, std::back_inserter(shown),
                         [](const burn_contributor& contributor) { return contributor.bad > 0; });
    shown.resize(std::min(shown.size(), max_bars));
    if (shown.empty()) {
        return;
    }
    const double top = shown.front().bad;
    out << "<h3>Bad events by " << title << R"(</h3><svg width=")" << plot_width << R"(" height=")"
        << bar_height * static_cast<double>(shown.size()) << R"(" role="img">)";
    double y = 0;
    for (const burn_contributor& contributor : shown) {
        const double width = std::max(1.0, (plot_width - 2 * name_width) * contributor.bad / top);
        out << R"(<text x="0" y=")" << y + 13 << R"(">)" << escape_html(contributor.name) << R"(</text><rect x=")"
            << name_width << R"(" y=")" << y + 2 << R"(" width=")" << width << R"(" height=")" << bar_height - 4
            << R"(" fill=")" << (contributor.outlier ? "#b00000" : "#7a9cc6") << R"("/><text x=")"
            << name_width + width + 6 << R"(" y=")" << y + 13 << R"(">)" << contributor.bad << " of "
            << contributor.total << (contributor.outlier ? ", far worse than others" : "") << "</text>\n";
        y += bar_height;
    }
    out << "</svg>\n";
}

void write_class(std::ostream& out, const burn_report& report, const class_burn& burn)
{
    out << "<h2>" << escape_html(burn.service) << " / " << to_string(burn.priority) << "</h2>\n<p>";
    if (burn.fast_burn) {
        out << R"(<strong class="fast">Fast burn.</strong> )";
    }
    if (burn.slow_burn) {
        out << R"(<strong class="slow">Slow burn.</strong> )";
    }
    out << "Objective " << std::setprecision(3) << burn.slo.good_percent << "% good in " << burn.slo.window_days
        << " days; " << std::setprecision(1) << burn.budget_used_percent
        << "% of the budget used in the last 3 days.</p>\n";
    write_windows(out, burn);
    write_rates(out, report, burn);
    write_bars(out, "cause", burn.causes);
    write_bars(out, "target", burn.targets);
    write_bars(out, "instance", burn.instances);
}

} // namespace

std::string to_html(const burn_report& report)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << page_start;
    if (report.classes.empty()) {
        out << "<p>No events between two samples.</p>\n";
    }
    for (const class_burn& burn : report.classes) {
        write_class(out, report, burn);
    }
    out << "</body>\n</html>\n";
    return out.str();
}

} // namespace lagoonferry
