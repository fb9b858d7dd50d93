#include "recovery_report.h"

#include <chrono>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <ostream>

namespace lagoonferry::bench {

namespace {

constexpr int name_width = 15;
constexpr int cell_width = 17;

nlohmann::json finite_or_null(double value)
{
    return std::isfinite(value) ? nlohmann::json(value) : nlohmann::json();
}

} // namespace

void write_recovery_table(std::ostream& out, const std::vector<recovery_result>& results)
{
    std::string size;
    for (const auto& r : results) {
        if (r.size.name != size) {
            size = r.size.name;
            out << '\n' << size << ": " << r.size.instances << " instances\n" << std::left;
            out << std::setw(name_width) << "fault" << std::setw(6) << "seed";
            for (const auto& column : recovery_columns) {
                out << std::setw(cell_width) << column.name;
            }
            out << '\n';
        }
        out << std::setw(name_width) << to_string(r.fault) << std::setw(6) << r.seed << std::fixed;
        for (const auto& column : recovery_columns) {
            const double value = r.figures.*column.value;
            out << std::setprecision(value >= 1000 ? 0 : 3) << std::setw(cell_width) << value;
        }
        out << '\n';
    }
}

nlohmann::json to_recovery_json(const std::vector<recovery_result>& results)
{
    auto runs = nlohmann::json::array();
    for (const auto& r : results) {
        nlohmann::json run{{"size", r.size.name}, {"fault", to_string(r.fault)}, {"seed", r.seed}};
        for (const auto& column : recovery_columns) {
            run[std::string(column.name)] = finite_or_null(r.figures.*column.value);
        }
        run["rate"] = r.figures.rate;
        run["started"] = r.figures.started;
        runs.push_back(std::move(run));
    }
    return {{"runs", std::move(runs)}};
}

bool write_recovery_plots(const std::string& folder, const std::vector<recovery_result>& results)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    std::ofstream script(std::filesystem::path(folder) / "plot.gp");
    script << "set terminal svg size 1000,500\nset yrange [0:*]\nset grid\nset xlabel 's after the fault'\n"
              "set ylabel 'tokens/s'\n";
    for (const auto& r : results) {
        if (r.seed != 1) {
            continue;
        }
        const auto name = r.size.name + "-" + std::string(to_string(r.fault));
        std::ofstream data(std::filesystem::path(folder) / (name + ".dat"));
        for (std::size_t n = 0; n < r.figures.rate.size(); ++n) {
            const double after =
                static_cast<double>(n) * rate_step_s - std::chrono::duration<double>(fault_time).count();
            data << after << ' ' << r.figures.rate[n] << ' ' << r.figures.started[n] << '\n';
        }
        script << "set output '" << name << ".svg'\nset title '" << name << ", served rate, seed 1' noenhanced\n"
               << "set arrow 1 from 0, graph 0 to 0, graph 1 nohead dt 2\n"
               << "plot '" << name << ".dat' using 1:2 with lines lw 2 notitle\n";
    }
    return script.good();
}

} // namespace lagoonferry::bench
