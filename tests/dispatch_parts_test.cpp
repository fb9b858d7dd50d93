#include "dispatch/concurrency_limit.h"
#include "dispatch/group_map.h"
#include "dispatch/prefix_table.h"
#include "dispatch/retry_policy.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace lagoonferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("retries stop when the retry budget is exhausted, so that they cannot multiply the load of an outage")
{
    retry_policy policy({}, 1);
    attempt_state call;
    call.idempotent = true;
    int retries = 0;
    while (policy.next_attempt(call, seconds(1))) {
        ++retries;
    }
    CHECK(retries == 10);
    for (int n = 0; n < 20; ++n) {
        policy.on_first_attempt();
    }
    CHECK(policy.next_attempt(call, seconds(1)));
    CHECK(policy.next_attempt(call, seconds(1)));
    CHECK_FALSE(policy.next_attempt(call, seconds(1)));
}

TEST_CASE("a call that may have run is retried only if it is idempotent, and never past its deadline")
{
    retry_policy policy({}, 1);
    attempt_state call;
    CHECK_FALSE(policy.next_attempt(call, seconds(1)));
    call.refused_not_run = true;
    call.retry_after = milliseconds(700);
    CHECK(policy.next_attempt(call, seconds(1)) == milliseconds(700));
    call.deadline = seconds(1) + milliseconds(750);
    CHECK_FALSE(policy.next_attempt(call, seconds(1)));
    CHECK(retry_policy::time_left(call, seconds(1)) == milliseconds(750));
    CHECK(retry_policy::time_left(call, call.deadline).count() < 0);
}

TEST_CASE("only idempotent calls are hedged, only once, and only when the first token is late")
{
    retry_policy policy({}, 1);
    attempt_state call;
    CHECK_FALSE(policy.should_hedge(call, seconds(10), seconds(1), seconds(20)));
    call.idempotent = true;
    CHECK_FALSE(policy.should_hedge(call, seconds(2), seconds(1), seconds(20)));
    CHECK(policy.should_hedge(call, seconds(4), seconds(1), seconds(20)));
    call.attempts = 2;
    CHECK_FALSE(policy.should_hedge(call, seconds(4), seconds(1), seconds(20)));
}

TEST_CASE("the backoff grows from its initial value and never exceeds its maximum")
{
    retry_settings settings;
    settings.budget_burst = 100;
    retry_policy policy(settings, 1);
    attempt_state call;
    call.idempotent = true;
    CHECK(*policy.next_attempt(call, seconds(1)) <= settings.initial_backoff);
    call.attempts = 40;
    const auto late = *policy.next_attempt(call, seconds(1));
    CHECK(late <= settings.max_backoff);
    CHECK(late >= settings.max_backoff / 2);
}

namespace {

std::vector<target_info> fleet_of(std::size_t count)
{
    std::vector<target_info> targets;
    for (std::size_t n = 0; n < count; ++n) {
        targets.push_back({"t" + std::to_string(n), "m", "fd-" + std::to_string(n % 3)});
    }
    return targets;
}

} // namespace

TEST_CASE("a small model is one group; a large one is split by failure domain into groups of about 40 targets")
{
    CHECK(group_map(fleet_of(40), {"d1"}).groups().size() == 1);
    const auto targets = fleet_of(600);
    const group_map map(targets, {"d1", "d2"});
    CHECK(map.groups().size() == 24); // 200 targets per domain need 5 groups, rounded up to 8
    std::size_t members = 0;
    for (const auto& group : map.groups()) {
        CHECK(group.targets.size() < 2 * group_map::max_group_size);
        members += group.targets.size();
        CHECK(map.group_of(group.targets.front()) == group.id);
    }
    CHECK(members == 600);
    CHECK_FALSE(map.group_of("unknown"));
    CHECK(map.groups_of("m", 5).size() == 24);
    CHECK(map.groups_of("m", 5) != map.groups_of("m", 6));
}

TEST_CASE("the loss of a dispatcher moves only its own groups, and the loss of a target moves no other target")
{
    const auto targets = fleet_of(600);
    const group_map before(targets, {"d1", "d2", "d3"});
    const group_map after(targets, {"d1", "d3"});
    for (const auto& group : before.groups()) {
        const auto order = before.dispatchers_of(group.id);
        const auto next = order[0] == "d2" ? order[1] : order[0];
        CHECK(after.dispatchers_of(group.id).front() == next);
    }
    const std::vector<target_info> fewer(targets.begin() + 1, targets.end());
    const group_map smaller(fewer, {"d1"});
    for (const auto& target : fewer) {
        CHECK(smaller.group_of(target.id) == before.group_of(target.id));
    }
}

// Without the upper bound a target with one declared slot got two calls at once.
TEST_CASE("the concurrency limit of a target never exceeds its declared slots")
{
    concurrency_limit limit(1, milliseconds(72));
    CHECK(limit.value() == 1);
    limit.observe(100'000, 1, seconds(5));
    limit.observe(10'000, 1, seconds(6));
    CHECK(limit.value() == 1);
}

TEST_CASE("a concurrency limit falls while the goal is missed and recovers when it is met")
{
    concurrency_limit limit(20, milliseconds(72));
    timestamp now = seconds(1);
    for (int n = 0; n < 10; ++n, now += seconds(2)) {
        limit.observe(100'000, 20, now);
    }
    const auto low = limit.value();
    CHECK(low < 10);
    CHECK(low >= 2);
    for (int n = 0; n < 500; ++n) {
        limit.observe(50'000, limit.value(), now);
    }
    CHECK(limit.value() == 20);
}

TEST_CASE("the prefix table evicts the least recently used prefix, and all entries of a removed target")
{
    prefix_table table(2);
    table.set(1, 0, 100);
    table.set(2, 0, 100);
    table.set(1, 1, 150);
    table.set(3, 0, 100);
    CHECK(table.size() == 2);
    CHECK(table.locations_of(2).empty());
    CHECK(table.locations_of(1).size() == 2);
    table.remove_target(0);
    CHECK(table.locations_of(3).empty());
    CHECK(table.locations_of(1).size() == 1);
    table.set(0, 1, 100);
    CHECK(table.locations_of(0).empty());
}
