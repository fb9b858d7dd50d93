#include "dispatch/order_planner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace lagoonferry;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr timestamp start = seconds(100);
constexpr timestamp load_time = seconds(20);

/// Targets with 10 slots each that carry out the planner's orders, and a demand for each model.
struct planned_fleet {
    order_settings settings;
    order_planner planner;
    std::vector<order_target> targets;
    std::map<std::string, std::uint32_t> demand{{"a", 0}, {"b", 0}};
    std::map<std::string, std::pair<timestamp, std::string>> loading; ///< by target
    std::vector<std::pair<timestamp, std::string>> loads;
    std::vector<target_order> ordered;
    timestamp now = start;
    bool loads_succeed = true;
    std::size_t max_loading = 0;

    planned_fleet(std::size_t of_a, std::size_t of_b, const order_settings& s = {}) : settings(s), planner(s, 1)
    {
        for (std::size_t n = 0; n < of_a + of_b; ++n) {
            targets.push_back({"t" + std::to_string(n), n < of_a ? "a" : "b", 10, 0, true});
        }
    }

    std::size_t serving(const std::string& model) const
    {
        return static_cast<std::size_t>(std::ranges::count(targets, model, &order_target::model));
    }

    std::vector<model_demand> observed() const
    {
        std::vector<model_demand> all;
        std::ranges::transform(demand, std::back_inserter(all), [](const auto& item) {
            return model_demand{item.first, 0, item.second, 0};
        });
        return all;
    }

    void end_loads()
    {
        for (auto it = loading.begin(); it != loading.end();) {
            if (now - it->second.first < load_time) {
                ++it;
                continue;
            }
            if (loads_succeed) {
                std::ranges::find(targets, it->first, &order_target::id)->model = it->second.second;
            }
            planner.on_order_finished(it->first, loads_succeed, now);
            it = loading.erase(it);
        }
    }

    void run(timestamp time)
    {
        for (const timestamp end = now + time; now < end; now += seconds(1)) {
            end_loads();
            for (const auto& order : planner.step(observed(), targets, now)) {
                std::ranges::find(targets, order.target, &order_target::id)->model.clear();
                loading[order.target] = {now, order.load};
                loads.emplace_back(now, order.target);
                ordered.push_back(order);
            }
            max_loading = std::max(max_loading, loading.size());
        }
    }
};

} // namespace

TEST_CASE("targets are reassigned when the demand moves to another model, so that no targets are idle while calls wait")
{
    planned_fleet f(6, 2);
    f.demand = {{"a", 30}, {"b", 10}};
    f.run(minutes(2));
    CHECK(f.loads.empty());
    f.demand = {{"a", 2}, {"b", 50}};
    f.run(minutes(8));
    CHECK(f.serving("b") >= 5);
    CHECK(f.serving("a") >= 1);
}

TEST_CASE("the rate and the number of concurrent loads stay within the limits of the weight store")
{
    order_settings settings;
    settings.load_interval = seconds(15);
    planned_fleet f(20, 1, settings);
    f.demand = {{"a", 0}, {"b", 1000}};
    f.run(minutes(10));
    REQUIRE(f.loads.size() > 5);
    CHECK(f.max_loading <= settings.loads_in_flight);
    for (std::size_t n = 1; n < f.loads.size(); ++n) {
        CHECK(f.loads[n].first - f.loads[n - 1].first >= settings.load_interval);
    }
}

TEST_CASE("the last target of a model is never reassigned, so that the next call for it is not refused")
{
    planned_fleet f(2, 2);
    f.demand = {{"a", 1}, {"b", 1000}};
    f.run(minutes(60));
    CHECK(f.serving("a") == 1);
    CHECK(f.serving("b") == 3);
    planned_fleet idle(2, 2);
    idle.demand = {{"a", 0}, {"b", 1000}};
    idle.run(minutes(60));
    CHECK(idle.serving("a") == 1);
}

TEST_CASE("alternating demand loads no target more than once in ten minutes")
{
    planned_fleet f(6, 6);
    for (int n = 0; n < 40; ++n) {
        f.demand = n % 2 == 0 ? std::map<std::string, std::uint32_t>{{"a", 100}, {"b", 0}}
                              : std::map<std::string, std::uint32_t>{{"a", 0}, {"b", 100}};
        f.run(minutes(3));
    }
    std::map<std::string, timestamp> last;
    for (const auto& [at, target] : f.loads) {
        CHECK((!last.contains(target) || at - last[target] >= minutes(10)));
        last[target] = at;
    }
}

TEST_CASE("demand that alternates faster than the recent peak decays moves no target")
{
    planned_fleet f(6, 6);
    for (int n = 0; n < 60; ++n) {
        f.demand = n % 2 == 0 ? std::map<std::string, std::uint32_t>{{"a", 100}, {"b", 0}}
                              : std::map<std::string, std::uint32_t>{{"a", 0}, {"b", 100}};
        f.run(seconds(30));
    }
    CHECK(f.loads.empty());
}

TEST_CASE("a target gets no new calls before it changes its model, and keeps its model while it has running calls")
{
    planned_fleet f(2, 1);
    f.targets[0].in_flight = 1;
    f.targets[1].in_flight = 1;
    f.demand = {{"a", 2}, {"b", 10}};
    f.run(f.settings.warm_up - seconds(20));
    CHECK(f.planner.usable("t0"));
    CHECK(f.planner.usable("t1"));
    f.run(seconds(40));
    CHECK(f.loads.empty());
    CHECK(f.planner.usable("t0") != f.planner.usable("t1"));
    f.run(f.settings.drain_timeout);
    CHECK(f.loads.empty());
    f.targets[0].in_flight = 0;
    f.run(seconds(90));
    CHECK(f.loads.size() == 1);
}

TEST_CASE("a failed load is not retried on the same target at once, so that an invalid order does not loop")
{
    planned_fleet f(3, 1);
    f.loads_succeed = false;
    f.demand = {{"a", 0}, {"b", 1000}};
    f.run(minutes(9) + f.settings.warm_up);
    CHECK(f.loads.size() > 1);
    std::map<std::pair<std::string, std::string>, int> count;
    for (const auto& item : f.ordered) {
        ++count[{item.target, item.load}];
    }
    CHECK(std::ranges::all_of(count, [](const auto& item) { return item.second == 1; }));
    CHECK(f.planner.loading() == 0);
}

TEST_CASE("a target whose load failed gets a model again, so that it does not stay empty")
{
    planned_fleet f(3, 1);
    f.demand = {{"a", 0}, {"b", 20}};
    f.loads_succeed = false;
    f.run(f.settings.warm_up + seconds(5));
    f.loads_succeed = true;
    f.run(seconds(90));
    CHECK(f.serving("") == 0);
}

TEST_CASE("a model that lost its last target gets another one at once")
{
    planned_fleet f(2, 1);
    f.demand = {{"a", 1}, {"b", 1}};
    f.run(minutes(3));
    f.targets.back().live = false;
    f.run(seconds(30));
    CHECK(f.serving("b") == 2);
}

TEST_CASE("a planner that has just started takes no target from a model, because it does not know the recent peaks")
{
    planned_fleet f(2, 2);
    f.demand = {{"a", 0}, {"b", 1000}};
    f.run(f.settings.warm_up - seconds(1));
    CHECK(f.loads.empty());
    f.run(seconds(60));
    CHECK(f.loads.size() == 1);
}

TEST_CASE("the same seed gives the same orders")
{
    planned_fleet a(8, 1);
    planned_fleet b(8, 1);
    a.demand = b.demand = {{"a", 1}, {"b", 1000}};
    a.run(minutes(5));
    b.run(minutes(5));
    CHECK(a.loads == b.loads);
}
