#include "dispatch/class_demand.h"

#include <doctest/doctest.h>

using namespace lagoonferry;
using std::chrono::seconds;

namespace {

const class_demand::timing usual{seconds(60), seconds(10), seconds(40)};

per_class<double> urgent(double calls)
{
    per_class<double> all{};
    all.at(index_of(service_class::interactive)) = calls;
    return all;
}

} // namespace

TEST_CASE("room for urgent calls is kept between their surges")
{
    class_demand demand(usual);
    demand.observe(urgent(10), 100, seconds(1));
    demand.observe(urgent(0), 100, seconds(46));
    CHECK(demand.demand_above(service_class::bulk) > 5);
}

// The backlog after the loss of a failure domain kept slots empty: the served rate was not back within 30 s.
TEST_CASE("urgent calls that wait together after a loss of targets are not taken for lasting demand")
{
    class_demand demand(usual);
    demand.observe(urgent(10), 100, seconds(1));
    demand.observe(urgent(60), 75, seconds(2));
    demand.observe(urgent(10), 75, seconds(22));
    CHECK(demand.demand_above(service_class::bulk) <= 15);
}

TEST_CASE("urgent calls that wait together after a takeover are not taken for lasting demand")
{
    class_demand demand(usual);
    demand.note_interruption(seconds(1));
    demand.observe(urgent(60), 100, seconds(2));
    demand.observe(urgent(10), 100, seconds(22));
    CHECK(demand.demand_above(service_class::bulk) <= 15);
}

TEST_CASE("a small change of the limits is no loss")
{
    class_demand demand(usual);
    demand.observe(urgent(10), 100, seconds(1));
    demand.observe(urgent(10), 97, seconds(2));
    demand.observe(urgent(0), 97, seconds(22));
    CHECK(demand.demand_above(service_class::bulk) > 7);
}
