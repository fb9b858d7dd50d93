#include "soak/invariant_checker.h"

#include <doctest/doctest.h>

using namespace lagoonferry::soak;

// A soak whose checks never fail proves nothing, so each check is shown to fail.

TEST_CASE("the soak notices a request that runs twice, or after it was refused, or that nobody sent")
{
    invariant_checker invariants;
    invariants.on_sent("a", request_kind::unsafe);
    invariants.on_started("a", "t0");
    CHECK(invariants.violations().empty());
    invariants.on_started("a", "t1");
    CHECK(invariants.violations().size() == 1);

    invariants.on_sent("b", request_kind::unsafe);
    invariants.on_refused("b", 503);
    invariants.on_started("b", "t0");
    CHECK(invariants.violations().size() == 2);

    invariants.on_sent("c", request_kind::unsafe);
    invariants.on_started("c", "t0");
    invariants.on_refused("c", 503);
    CHECK(invariants.violations().size() == 3);

    invariants.on_started("d", "t0");
    CHECK(invariants.violations().size() == 4);
}

TEST_CASE("the soak lets idempotent requests and streams run more than once")
{
    invariant_checker invariants;
    invariants.on_sent("a", request_kind::safe);
    invariants.on_sent("b", request_kind::stream);
    for (const char* id : {"a", "b"}) {
        invariants.on_started(id, "t0");
        invariants.on_started(id, "t1");
    }
    CHECK(invariants.violations().empty());
}

TEST_CASE("the soak notices a missing or repeated event and an answer of another request")
{
    invariant_checker invariants;
    invariants.on_event("a", 1, 0);
    invariants.on_event("a", 2, 1);
    CHECK(invariants.violations().empty());
    invariants.on_event("a", 4, 2);
    invariants.on_event("a", 4, 4);
    CHECK(invariants.violations().size() == 2);
    invariants.on_success("a", true, true);
    invariants.on_success("a", false, true);
    invariants.on_success("a", true, false);
    CHECK(invariants.violations().size() == 4);
}

TEST_CASE("the soak notices a budget that is exceeded by more than one turn, once for each program")
{
    invariant_checker invariants;
    invariants.on_tokens("p", 180, 100, 80);
    CHECK(invariants.violations().empty());
    invariants.on_tokens("p", 1, 100, 80);
    invariants.on_tokens("p", 1, 100, 80);
    CHECK(invariants.violations().size() == 1);
}
