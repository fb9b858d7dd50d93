#include "gateway/record_replicas.h"

#include "util/rendezvous.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

using namespace lagoonferry;

namespace {

/// Returns the gateways in their order as replicas of the record of `key`: the owner first.
std::vector<std::string> replica_order(std::vector<std::string> ids, std::string_view key)
{
    std::ranges::sort(ids, std::greater{},
                      [key](const std::string& id) { return rendezvous_weight(stable_hash(key), id); });
    return ids;
}

} // namespace

// The owner was killed, and the gateway with the backup stopped in order without handing it over. The next gateway took
// the program for a new one, which got 568 tokens on a budget of 480 (soak, seed 21).
TEST_CASE("the backup of a lost owner's record is the only replica, and must be handed over when its gateway stops")
{
    const std::vector<std::string> order = replica_order({"g0", "g1", "g2", "g3"}, "program");
    const std::vector<std::string> live{order[1], order[2], order[3]};
    CHECK(surviving_replicas("program", live, {order[0]}, 2) == std::vector{order[1]});
    // After the backup's gateway has stopped, one that never had the record counts as a replica.
    const std::vector<std::string> rest{order[2], order[3]};
    CHECK(surviving_replicas("program", rest, {order[0]}, 2) == std::vector{order[2]});
}

TEST_CASE("a record has no surviving replica when both were lost, and two when none was")
{
    const std::vector<std::string> order = replica_order({"g0", "g1", "g2", "g3"}, "program");
    CHECK(surviving_replicas("program", std::vector{order[2], order[3]}, {order[0], order[1]}, 2).empty());
    CHECK(surviving_replicas("program", order, {}, 2) == std::vector{order[0], order[1]});
    // A gateway that was lost and is back does not have the records of its former incarnation.
    CHECK(surviving_replicas("program", order, {order[0]}, 2) == std::vector{order[1]});
}
