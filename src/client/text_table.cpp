#include "client/text_table.h"

#include <algorithm>
#include <ostream>

namespace lagoonferry {

void print_table(std::ostream& out, const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t n = 0; n < row.size(); ++n) {
            widths[n] = std::max(widths[n], row[n].size());
        }
    }
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t n = 0; n < row.size(); ++n) {
            line += row[n] + std::string(widths[n] - row[n].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

} // namespace lagoonferry
