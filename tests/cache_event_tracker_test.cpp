#include "dispatch/cache_event_tracker.h"

#include "util/rendezvous.h"

#include <doctest/doctest.h>

using namespace lagoonferry;

namespace {

engine_cache_event event(std::uint64_t sequence, const char* kind, const char* program, std::uint64_t tokens)
{
    return {sequence, kind, program, tokens};
}

} // namespace

TEST_CASE("each cache event is applied once, although every response repeats the last known event")
{
    cache_event_tracker tracker;
    CHECK(tracker.resume_position("t") == 0);
    const auto first = tracker.apply("t", {{event(1, "stored", "p", 100), event(2, "evicted", "q", 50)}});
    CHECK_FALSE(first.incomplete);
    REQUIRE(first.events.size() == 2);
    CHECK(first.events[0].prefix == stable_hash("p"));
    CHECK(first.events[0].tokens == 100);
    CHECK(first.events[1].tokens == 0);
    CHECK(tracker.resume_position("t") == 1);
    const auto again = tracker.apply("t", {{event(2, "evicted", "q", 50)}});
    CHECK_FALSE(again.incomplete);
    CHECK(again.events.empty());
}

TEST_CASE("a lost event leads to a resync, so that an evicted prefix does not count as cached for ever")
{
    cache_event_tracker tracker;
    tracker.apply("t", {{event(1, "stored", "p", 100), event(2, "stored", "q", 100)}});
    const auto gap = tracker.apply("t", {{event(2, "stored", "q", 100), event(4, "stored", "r", 10)}});
    CHECK(gap.incomplete);
    engine_cache_state held;
    held.programs = {{"q", 100}, {"r", 10}};
    const auto changes = tracker.resync("t", held);
    REQUIRE(changes.size() == 3);
    CHECK(changes.back().prefix == stable_hash("p"));
    CHECK(changes.back().tokens == 0);
    CHECK_FALSE(tracker.apply("t", {{event(4, "stored", "r", 10)}}).incomplete);
}

TEST_CASE("the events of a restarted target are tracked although its sequence numbers start again")
{
    cache_event_tracker tracker;
    tracker.apply("t", {{event(1, "stored", "p", 100), event(2, "stored", "q", 100), event(3, "stored", "r", 100)}});
    CHECK(tracker.apply("t", {}).incomplete);
    CHECK(tracker.resync("t", {}).size() == 3);
    CHECK(tracker.resume_position("t") == 0);
    const auto next = tracker.apply("t", {{event(1, "stored", "s", 7)}});
    CHECK_FALSE(next.incomplete);
    CHECK(next.events.size() == 1);
}
