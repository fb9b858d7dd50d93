#include "recovery_report.h"

#include <cmath>
#include <iomanip>
#include <ostream>

namespace lagoonferry::bench {

namespace {

constexpr int name_width = 15;
constexpr int cell_width = 17;

nlohmann::json finite(double value)
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
            run[std::string(column.name)] = finite(r.figures.*column.value);
        }
        runs.push_back(std::move(run));
    }
    return {{"runs", std::move(runs)}};
}

} // namespace lagoonferry::bench
