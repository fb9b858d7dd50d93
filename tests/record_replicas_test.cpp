#include "gateway/record_replicas.h"

#include "util/rendezvous.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

using namespace lagoonferry;

namespace {

/// Returns the gateways in the order in which they keep the record of `key`.
std::vector<std::string> order_of(std::vector<std::string> ids, std::string_view key)
{
    std::ranges::sort(ids, std::greater{},
                      [key](const std::string& id) { return rendezvous_weight(stable_hash(key), id); });
    return ids;
}

} // namespace

// Seed 21 of the soak: the owner was killed, and the gateway with the copy stopped in order without passing it on. The
// next gateway took the program for a new one, and it got 568 tokens on a budget of 480.
TEST_CASE("the holder of a lost owner's copy is its only keeper, and must pass it on when it stops")
{
    const std::vector<std::string> order = order_of({"g0", "g1", "g2", "g3"}, "program");
    const std::vector<std::string> live{order[1], order[2], order[3]};
    CHECK(surviving_replicas("program", live, {order[0]}, 2) == std::vector{order[1]});
    // Once it has gone, one that never had the record would count as a keeper.
    const std::vector<std::string> rest{order[2], order[3]};
    CHECK(surviving_replicas("program", rest, {order[0]}, 2) == std::vector{order[2]});
}

TEST_CASE("a record has no keeper when both of its gateways were lost, and two when none was")
{
    const std::vector<std::string> order = order_of({"g0", "g1", "g2", "g3"}, "program");
    CHECK(surviving_replicas("program", std::vector{order[2], order[3]}, {order[0], order[1]}, 2).empty());
    CHECK(surviving_replicas("program", order, {}, 2) == std::vector{order[0], order[1]});
    // A gateway that was lost and is back does not have the records of its former start.
    CHECK(surviving_replicas("program", order, {order[0]}, 2) == std::vector{order[1]});
}
