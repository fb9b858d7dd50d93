#include "util/result_code.h"

#include <doctest/doctest.h>

#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

using namespace lagoonferry;

namespace {

std::vector<std::string> cells_of(const std::string& line)
{
    std::vector<std::string> cells;
    std::istringstream in(line.substr(1));
    for (std::string cell; std::getline(in, cell, '|');) {
        cell.erase(0, cell.find_first_not_of(' '));
        cell.erase(cell.find_last_not_of(' ') + 1);
        cells.push_back(cell);
    }
    return cells;
}

bool is_run_state(const std::string& text)
{
    return text == to_string(execution_state::not_run) || text == to_string(execution_state::outcome_unknown) ||
           text == to_string(execution_state::run);
}

} // namespace

TEST_CASE("the page on result codes has the codes, names and HTTP statuses of the code, and no others")
{
    std::ifstream in("docs/result-codes.md");
    REQUIRE_MESSAGE(in, "run the tests from the root of the repository");
    std::map<int, std::vector<std::string>> rows;
    for (std::string line; std::getline(in, line);) {
        const bool is_row = line.starts_with("| ") && line.size() > 2 && line[2] >= '0' && line[2] <= '9';
        if (is_row) {
            const auto cells = cells_of(line);
            REQUIRE(cells.size() == 6);
            CHECK_MESSAGE(rows.emplace(std::stoi(cells[0]), cells).second, line);
        }
    }
    for (int number = 0; number < 1'000; ++number) {
        const auto code = static_cast<result_code>(number);
        const bool exists = to_string(code) != "unknown_code";
        CHECK_MESSAGE(rows.contains(number) == exists, number);
        if (!exists || !rows.contains(number)) {
            continue;
        }
        const auto& cells = rows[number];
        CHECK(cells[1] == "`" + std::string(to_string(code)) + "`");
        CHECK(cells[2] == std::to_string(http_status(code)));
        std::istringstream states(cells[3]);
        for (std::string state; std::getline(states >> std::ws, state, ',');) {
            CHECK_MESSAGE(is_run_state(state), cells[3]);
        }
        CHECK_FALSE(cells[4].empty());
        CHECK_FALSE(cells[5].empty());
    }
}
