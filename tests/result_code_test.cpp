#include "util/result_code.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>
#include <string>

using namespace lagoonferry;

TEST_CASE("the table of result codes in the docs agrees with the code, so that callers can rely on it")
{
    std::ifstream page("docs/result-codes.md");
    REQUIRE(page);
    int rows = 0;
    for (std::string line; std::getline(page, line);) {
        std::istringstream fields(line);
        std::string bar;
        std::string name;
        int code = 0;
        int status = 0;
        if (!(fields >> bar >> code >> bar >> name >> bar >> status)) {
            continue;
        }
        ++rows;
        CHECK(name == '`' + std::string(to_string(static_cast<result_code>(code))) + '`');
        CHECK(status == http_status(static_cast<result_code>(code)));
    }
    CHECK(rows == 28);
}
