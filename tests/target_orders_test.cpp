#include "roles/target_orders.h"

#include <doctest/doctest.h>

using namespace lagoonferry;
using std::chrono::seconds;

namespace {

constexpr timestamp start = seconds(100);

load_report report_of(const std::string& target, std::vector<std::string> models)
{
    return {target, 0, 0, std::move(models)};
}

/// Two targets of model "a" and one of model "b", with a high demand for "b".
struct ordered_service {
    target_orders orders{order_settings{}, 1};
    std::vector<target_orders::member> members{{"t0", "a", 10}, {"t1", "a", 10}, {"t2", "b", 10}};
    timestamp now = start;

    ordered_service()
    {
        orders.report(report_of("t0", {"a"}), now);
        orders.report(report_of("t1", {"a"}), now);
        orders.report(report_of("t2", {"b"}), now);
    }

    std::vector<target_order> run(timestamp time)
    {
        const std::vector<model_demand> demand{{"a", 1, 0, 0}, {"b", 10, 1000, 0}};
        for (const timestamp end = now + time; now < end; now += seconds(1)) {
            auto due = orders.step(demand, members, now);
            if (!due.empty()) {
                return due;
            }
        }
        return {};
    }
};

} // namespace

TEST_CASE("a target with an order serves no model until it reports the new one, even if an old report arrives late")
{
    ordered_service s;
    const auto due = s.run(seconds(200));
    REQUIRE(due.size() == 1);
    const std::string id = due.front().target;
    CHECK(due.front().unload == "a");
    CHECK(due.front().load == "b");
    CHECK(s.orders.model_of(id, "a").empty());
    s.orders.report(report_of(id, {"a"}), s.now);
    CHECK(s.orders.model_of(id, "a").empty());
    s.orders.report(report_of(id, {}), s.now);
    CHECK(s.orders.model_of(id, "a").empty());
    s.orders.report(report_of(id, {"b"}), s.now);
    CHECK(s.orders.model_of(id, "a") == "b");
    CHECK(s.orders.usable(id));
}

TEST_CASE("a target that refuses an order keeps the model that it reports")
{
    ordered_service s;
    const auto due = s.run(seconds(200));
    REQUIRE(due.size() == 1);
    s.orders.refused(due.front().target, s.now);
    s.orders.report(report_of(due.front().target, {"a"}), s.now);
    CHECK(s.orders.model_of(due.front().target, "a") == "a");
    CHECK(s.run(seconds(300)).front().target != due.front().target);
}

TEST_CASE("a target that does not report its models gets no orders and keeps the model of the document")
{
    target_orders orders{order_settings{}, 1};
    const std::vector<target_orders::member> members{{"t0", "a", 10}, {"t1", "a", 10}, {"t2", "b", 10}};
    const std::vector<model_demand> demand{{"a", 1, 0, 0}, {"b", 10, 1000, 0}};
    for (timestamp now = start; now < start + seconds(300); now += seconds(1)) {
        orders.report({"t0", 1, 0, {}}, now);
        CHECK(orders.step(demand, members, now).empty());
    }
    CHECK(orders.model_of("t0", "a") == "a");
}

TEST_CASE("a dispatcher that starts without state uses the model that a target reports, not that of the document")
{
    target_orders orders{order_settings{}, 1};
    orders.report(report_of("t0", {"b"}), start);
    CHECK(orders.model_of("t0", "a") == "b");
}
