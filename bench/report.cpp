#include "report.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <ostream>
#include <sstream>

namespace lagoonferry::bench {

namespace {

constexpr std::size_t name_width = 26;
constexpr std::size_t cell_width = 25;

/// Figures that are printed as the columns of one table.
struct table {
    std::string_view title;
    std::vector<std::string_view> figures;
};

const std::vector<table>& tables()
{
    static const std::vector<table> all{
        {"programs",
         {"program_p50_s", "program_p95_s", "program_p99_s", "light_p95_s", "bulk_p95_s", "given_up_share"}},
        {"calls",
         {"first_token_p50_s", "first_token_p95_s", "first_token_p99_s", "token_gap_p50_ms", "token_gap_p95_ms",
          "token_gap_p99_ms"}},
        {"cache and short work",
         {"recomputed_share", "idle_held_tokens", "short_wait_p50_s", "short_wait_p99_s", "preempted",
          "refused_safety"}},
        {"crest and refusals",
         {"served_safety", "served_interactive", "served_normal", "served_bulk", "refused_other", "refuse_time_p95_s"}},
    };
    return all;
}

double run_figures::*figure_of(std::string_view name)
{
    return std::ranges::find(figure_columns(), name, &figure_column::name)->value;
}

std::string format_number(double value)
{
    std::ostringstream out;
    const int digits = value >= 100 ? 0 : (value >= 10 ? 1 : 3);
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

std::string cell(const comparison& c, scenario s, std::size_t policy, double run_figures::*figure)
{
    const auto values = c.values(s, policy, figure);
    return format_number(c.median(s, policy, figure)) + " [" + format_number(values.front()) + ".." +
           format_number(values.back()) + "]";
}

void write_table(std::ostream& out, const comparison& c, scenario s, const table& t)
{
    out << '\n' << c.compared_workload().name << ", " << to_string(s) << ", " << t.title << '\n';
    out << std::left << std::setw(name_width) << "policy";
    std::ranges::for_each(t.figures, [&](std::string_view name) { out << std::setw(cell_width) << name; });
    out << '\n';
    for (std::size_t policy = 0; policy < policy_rows().size(); ++policy) {
        if (!runs_in_scenario(s, policy_rows()[policy])) {
            continue;
        }
        out << std::setw(name_width) << policy_rows()[policy].name;
        for (const auto name : t.figures) {
            out << std::setw(cell_width) << cell(c, s, policy, figure_of(name));
        }
        out << '\n';
    }
}

nlohmann::json finite_or_null(double value)
{
    return std::isfinite(value) ? nlohmann::json(value) : nlohmann::json();
}

nlohmann::json runs_of(const comparison& c)
{
    auto runs = nlohmann::json::array();
    for (std::size_t s = 0; s < scenario_count; ++s) {
        for (std::size_t policy = 0; policy < policy_rows().size(); ++policy) {
            for (std::size_t seed = 0; seed < c.seeds(); ++seed) {
                if (!runs_in_scenario(static_cast<scenario>(s), policy_rows()[policy])) {
                    continue;
                }
                nlohmann::json run{{"workload", c.compared_workload().name},
                                   {"scenario", to_string(static_cast<scenario>(s))},
                                   {"policy", policy_rows()[policy].name},
                                   {"seed", seed + 1}};
                const auto& figures = c.at(static_cast<scenario>(s), policy, seed);
                for (const auto& column : figure_columns()) {
                    run[std::string(column.name)] = finite_or_null(figures.*column.value);
                }
                runs.push_back(std::move(run));
            }
        }
    }
    return runs;
}

void write_data(const std::filesystem::path& path, const comparison& c, scenario s, double run_figures::*figure)
{
    std::ofstream out(path);
    for (std::size_t policy = 0; policy < policy_rows().size(); ++policy) {
        if (!runs_in_scenario(s, policy_rows()[policy])) {
            continue;
        }
        const auto values = c.values(s, policy, figure);
        out << policy << " \"" << policy_rows()[policy].name << "\"";
        for (const double value : {c.median(s, policy, figure), values.front(), values.back()}) {
            out << ' ' << (std::isfinite(value) ? format_number(value) : "NaN");
        }
        out << '\n';
    }
}

/// Bar chart of one figure over all policies in one scenario.
struct plot {
    std::string_view figure;
    scenario run_scenario;
};

constexpr std::array plots{
    plot{"program_p95_s", scenario::day},    plot{"short_wait_p99_s", scenario::day},
    plot{"recomputed_share", scenario::day}, plot{"served_interactive", scenario::day},
    plot{"served_safety", scenario::day},    plot{"first_token_p95_s", scenario::steady},
    plot{"program_p99_s", scenario::slowed}, plot{"light_p95_s", scenario::surge},
};

} // namespace

void write_tables(std::ostream& out, const std::vector<comparison>& comparisons)
{
    for (const auto& c : comparisons) {
        for (std::size_t s = 0; s < scenario_count; ++s) {
            for (const auto& t : tables()) {
                write_table(out, c, static_cast<scenario>(s), t);
            }
        }
    }
}

void write_bounds(std::ostream& out, const std::vector<bound_result>& results)
{
    out << '\n';
    for (const auto& r : results) {
        const char* state = r.met ? "ok" : (r.known_red ? "known red" : "FAILED");
        out << state << ": " << r.name << ": " << format_number(r.value) << ", bound " << format_number(r.limit) << " ("
            << r.text << ")" << (r.met && r.known_red ? ", listed as known red" : "") << '\n';
    }
}

nlohmann::json to_report(const std::vector<comparison>& comparisons, const std::vector<bound_result>& results)
{
    nlohmann::json report{{"runs", nlohmann::json::array()}, {"bounds", nlohmann::json::array()}};
    for (const auto& c : comparisons) {
        for (auto& run : runs_of(c)) {
            report["runs"].push_back(std::move(run));
        }
    }
    for (const auto& r : results) {
        report["bounds"].push_back({{"name", r.name},
                                    {"text", r.text},
                                    {"value", finite_or_null(r.value)},
                                    {"limit", r.limit},
                                    {"met", r.met},
                                    {"known_red", r.known_red}});
    }
    return report;
}

bool write_plots(const std::string& folder, const std::vector<comparison>& comparisons)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    std::ofstream script(std::filesystem::path(folder) / "plot.gp");
    script << "set terminal svg size 1000,500\nset style fill solid 0.5\nset boxwidth 0.7\n"
              "set xtics rotate by -35\nset yrange [0:*]\nset grid ytics\nunset key\n";
    for (const auto& c : comparisons) {
        for (const auto& p : plots) {
            const auto name =
                c.compared_workload().name + "-" + std::string(to_string(p.run_scenario)) + "-" + std::string(p.figure);
            write_data(std::filesystem::path(folder) / (name + ".dat"), c, p.run_scenario, figure_of(p.figure));
            script << "set output '" << name << ".svg'\nset title '" << c.compared_workload().name << ", "
                   << to_string(p.run_scenario) << ": " << p.figure << ", median and spread over " << c.seeds()
                   << " seeds' noenhanced\n"
                   << "plot '" << name << ".dat' using 1:3:xtic(2) with boxes lc rgb '#4477aa', "
                   << "'' using 1:3:4:5 with yerrorbars lc rgb 'black' pt 0\n";
        }
    }
    return script.good();
}

} // namespace lagoonferry::bench
