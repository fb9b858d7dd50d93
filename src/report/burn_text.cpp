#include "report/burn_text.h"

#include <nlohmann/json.hpp>

#include <ctime>
#include <iomanip>
#include <sstream>

namespace lagoonferry {

namespace {

using nlohmann::json;

constexpr std::size_t max_shown_contributors = 10;

std::string status_of(const class_burn& burn)
{
    if (burn.fast_burn) {
        return "FAST BURN";
    }
    return burn.slow_burn ? "SLOW BURN" : "ok";
}

void print_window(std::ostream& out, const window_burn& window)
{
    out << "  last " << std::setw(6) << duration_text(window.length) << ": burn rate " << std::setw(8) << window.rate
        << ", " << window.bad << " bad of " << window.total;
    if (window.covered < window.length) {
        out << " (samples cover " << duration_text(window.covered) << ")";
    }
    out << '\n';
}

void print_contributors(std::ostream& out, const char* title, const std::vector<burn_contributor>& contributors)
{
    out << "  by " << title << ":\n";
    std::size_t shown = 0;
    for (const burn_contributor& contributor : contributors) {
        if (contributor.bad == 0 || shown++ == max_shown_contributors) {
            break;
        }
        out << "    " << contributor.name << ": " << contributor.bad << " bad of " << contributor.total << ", "
            << contributor.percent_of_bad << "% of all bad events"
            << (contributor.outlier ? "  <- far worse than the others" : "") << '\n';
    }
}

void print_class(std::ostream& out, const class_burn& burn)
{
    out << burn.service << " / " << to_string(burn.priority) << ": " << status_of(burn) << ", objective "
        << std::setprecision(3) << burn.slo.good_percent << "% good in " << burn.slo.window_days << " days, "
        << std::setprecision(1) << burn.budget_used_percent << "% of the budget used in the last 3 days\n";
    for (const window_burn& window : burn.windows) {
        print_window(out, window);
    }
    if (burn.windows.back().bad > 0) {
        out << "  bad events of the last " << duration_text(burn.detail_window) << '\n';
        print_contributors(out, "cause", burn.causes);
        print_contributors(out, "target", burn.targets);
        print_contributors(out, "instance", burn.instances);
    }
}

json contributors_json(const std::vector<burn_contributor>& contributors)
{
    json result = json::array();
    for (const burn_contributor& contributor : contributors) {
        result.push_back({{"name", contributor.name},
                          {"total", contributor.total},
                          {"bad", contributor.bad},
                          {"percent_of_bad", contributor.percent_of_bad},
                          {"outlier", contributor.outlier}});
    }
    return result;
}

json class_json(const class_burn& burn)
{
    json windows = json::array();
    for (const window_burn& window : burn.windows) {
        windows.push_back({{"length_s", window.length.count()},
                           {"covered_s", window.covered.count()},
                           {"total", window.total},
                           {"bad", window.bad},
                           {"burn_rate", window.rate}});
    }
    return {{"service", burn.service},
            {"class", to_string(burn.priority)},
            {"objective", {{"good_percent", burn.slo.good_percent}, {"window_days", burn.slo.window_days}}},
            {"fast_burn", burn.fast_burn},
            {"slow_burn", burn.slow_burn},
            {"budget_used_percent", burn.budget_used_percent},
            {"windows", windows},
            {"detail_window_s", burn.detail_window.count()},
            {"causes", contributors_json(burn.causes)},
            {"targets", contributors_json(burn.targets)},
            {"instances", contributors_json(burn.instances)}};
}

} // namespace

std::string to_text(const burn_report& report)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    if (report.classes.empty()) {
        out << "no events between two samples\n";
        return out.str();
    }
    out << "samples from " << time_text(report.from_ms) << " to " << time_text(report.to_ms) << " UTC\n";
    for (const class_burn& burn : report.classes) {
        out << '\n';
        print_class(out, burn);
    }
    return out.str();
}

json to_json(const burn_report& report)
{
    json classes = json::array();
    for (const class_burn& burn : report.classes) {
        classes.push_back(class_json(burn));
    }
    return {{"from_ms", report.from_ms}, {"to_ms", report.to_ms}, {"classes", classes}};
}

std::string duration_text(std::chrono::seconds length)
{
    struct unit {
        std::int64_t seconds;
        const char* name;
    };
    constexpr std::array units{unit{86'400, " d"}, unit{3'600, " h"}, unit{60, " min"}};
    for (const unit& each : units) {
        if (length.count() >= each.seconds) {
            return std::to_string(length.count() / each.seconds) + each.name;
        }
    }
    return std::to_string(length.count()) + " s";
}

std::string time_text(std::int64_t time_ms)
{
    constexpr std::int64_t ms_per_s = 1'000;
    const auto time = static_cast<std::time_t>(time_ms / ms_per_s);
    std::tm parts{};
    ::gmtime_r(&time, &parts);
    std::ostringstream out;
    out << std::put_time(&parts, "%Y-%m-%d %H:%M:%S");
    return out.str();
}

} // namespace lagoonferry
