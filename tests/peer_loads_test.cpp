#include "routing/peer_loads.h"

#include <doctest/doctest.h>

#include <array>

using namespace lagoonferry;
using std::chrono::seconds;

// Without the replacement a target that is missing in a gateway's next report would keep its reported load for ever.
TEST_CASE("a load report replaces all loads that the gateway has reported before")
{
    peer_loads loads;
    loads.on_load_report("g1", std::array{target_load{"t1", 2, 300, 0}, target_load{"t2", 1, 0, 0}}, seconds(1));
    loads.on_load_report("g2", std::array{target_load{"t1", 4, 100, 3}}, seconds(2));
    REQUIRE(loads.at("t1").size() == 2);
    CHECK(loads.at("t1")[1].gateway == "g2");
    CHECK(loads.at("t1")[1].failures == 3);
    CHECK(loads.at("t1")[1].received == seconds(2));

    loads.on_load_report("g1", std::array{target_load{"t2", 5, 0, 0}}, seconds(3));
    REQUIRE(loads.at("t1").size() == 1);
    CHECK(loads.at("t1")[0].gateway == "g2");
    REQUIRE(loads.at("t2").size() == 1);
    CHECK(loads.at("t2")[0].in_flight == 5);

    loads.on_load_report("g1", {}, seconds(4));
    CHECK(loads.at("t2").empty());
    CHECK(loads.at("unknown").empty());
    CHECK(loads.count_reporting_since(seconds(2)) == 2);
    CHECK(loads.count_reporting_since(seconds(3)) == 1);
}
