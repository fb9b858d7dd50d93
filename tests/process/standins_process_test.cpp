#include "child_process.h"

#include "backends/call_counts.h"
#include "backends/http_instance_list.h"

#include <doctest/doctest.h>

#include <csignal>
#include <map>
#include <sstream>

using namespace lagoonferry;
using namespace lagoonferry::test;
using namespace std::chrono_literals;

TEST_CASE("all stand-ins serve from one process and end on SIGTERM")
{
    child_process standins("lagoonferry_standins", {"all", "--engines=2", "--tools=1"});
    std::map<std::string, std::string> addresses;
    for (int n = 0; n < 6; ++n) {
        const auto line = standins.read_listening_line(20s);
        REQUIRE(line);
        std::istringstream words(*line);
        std::string kind;
        std::string name;
        std::string address;
        words >> kind >> name >> address;
        addresses[name] = address;
    }
    call_counts counts;
    http_instance_list list(addresses.at("instances"), 20s, counts);
    const auto instances = list.poll();
    REQUIRE(instances);
    CHECK(instances->size() == 3);
    CHECK(instances->at(0).address == addresses.at("engine-0"));
    standins.send_signal(SIGTERM);
    CHECK(standins.wait_for_exit(20s) == 0);
}

TEST_CASE("a malformed option ends a stand-in with the exit status for usage errors")
{
    child_process standins("lagoonferry_standins", {"engine", "--batch=0"});
    CHECK(standins.wait_for_exit(20s) == 2);
}
