#include "soak/invariant_checker.h"

#include <doctest/doctest.h>

using namespace lagoonferry::soak;

// Guards against checks of the soak that never fail: each check must report its violation.

TEST_CASE("the soak reports a request that runs twice, runs after it was refused, or was never sent")
{
    invariant_checker checks;
    checks.on_sent("a", request_kind::unsafe);
    checks.on_started("a", "t0");
    CHECK(checks.violations().empty());
    checks.on_started("a", "t1");
    CHECK(checks.violations().size() == 1);

    checks.on_sent("b", request_kind::unsafe);
    checks.on_refused("b", 503);
    checks.on_started("b", "t0");
    CHECK(checks.violations().size() == 2);

    checks.on_sent("c", request_kind::unsafe);
    checks.on_started("c", "t0");
    checks.on_refused("c", 503);
    CHECK(checks.violations().size() == 3);

    checks.on_started("d", "t0");
    CHECK(checks.violations().size() == 4);
}

TEST_CASE("the soak accepts idempotent requests and streams that run more than once")
{
    invariant_checker checks;
    checks.on_sent("a", request_kind::safe);
    checks.on_sent("b", request_kind::stream);
    for (const char* id : {"a", "b"}) {
        checks.on_started(id, "t0");
        checks.on_started(id, "t1");
    }
    CHECK(checks.violations().empty());
}

TEST_CASE("the soak reports a missing or repeated event and a response that is unsigned or belongs to another request")
{
    invariant_checker checks;
    checks.on_event("a", 1, 0);
    checks.on_event("a", 2, 1);
    CHECK(checks.violations().empty());
    checks.on_event("a", 4, 2);
    checks.on_event("a", 4, 4);
    CHECK(checks.violations().size() == 2);
    checks.on_success("a", true, true);
    checks.on_success("a", false, true);
    checks.on_success("a", true, false);
    CHECK(checks.violations().size() == 4);
}

TEST_CASE("the soak reports a budget that is exceeded by more than one turn, once per program")
{
    invariant_checker checks;
    checks.on_tokens("p", 180, 100, 80);
    CHECK(checks.violations().empty());
    checks.on_tokens("p", 1, 100, 80);
    checks.on_tokens("p", 1, 100, 80);
    CHECK(checks.violations().size() == 1);
}

TEST_CASE("the soak reports a turn that runs without its history, and a served turn that is denied")
{
    invariant_checker checks;
    checks.on_turn_started("a", "", "in-a", "in-a");
    checks.on_turn_served("a", "", "in-a", "out-a\n");
    checks.on_turn_started("b", "a", "in-b", "in-aout-a\nin-b");
    checks.on_turn_unknown("c", "never");
    CHECK(checks.violations().empty());
    checks.on_turn_started("d", "a", "in-d", "in-d");
    CHECK(checks.violations().size() == 1);
    checks.on_turn_unknown("e", "a");
    CHECK(checks.violations().size() == 2);
}
