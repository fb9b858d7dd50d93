#include "dispatch/class_demand.h"

#include <doctest/doctest.h>

using namespace lagoonferry;
using std::chrono::seconds;

namespace {

const class_demand::timing default_timing{seconds(60), seconds(10), seconds(40)};

per_class<double> urgent(double calls)
{
    per_class<double> all{};
    all.at(index_of(service_class::interactive)) = calls;
    return all;
}

} // namespace

TEST_CASE("slots stay reserved for urgent calls between two bursts of them")
{
    class_demand demand(default_timing);
    demand.observe(urgent(10), 100, seconds(1));
    demand.observe(urgent(0), 100, seconds(46));
    CHECK(demand.demand_above(service_class::bulk) > 5);
}

// If the backlog after the loss of a failure domain counts as lasting demand, reserved slots stay empty and the served
// rate does not recover within 30 s.
TEST_CASE("a backlog of urgent calls after a loss of targets does not count as lasting demand")
{
    class_demand demand(default_timing);
    demand.observe(urgent(10), 100, seconds(1));
    demand.observe(urgent(60), 75, seconds(2));
    demand.observe(urgent(10), 75, seconds(22));
    CHECK(demand.demand_above(service_class::bulk) <= 15);
}

TEST_CASE("a backlog of urgent calls after a takeover does not count as lasting demand")
{
    class_demand demand(default_timing);
    demand.note_interruption(seconds(1));
    demand.observe(urgent(60), 100, seconds(2));
    demand.observe(urgent(10), 100, seconds(22));
    CHECK(demand.demand_above(service_class::bulk) <= 15);
}

TEST_CASE("a small decrease of the limits does not count as a loss of slots")
{
    class_demand demand(default_timing);
    demand.observe(urgent(10), 100, seconds(1));
    demand.observe(urgent(10), 97, seconds(2));
    demand.observe(urgent(0), 97, seconds(22));
    CHECK(demand.demand_above(service_class::bulk) > 7);
}
