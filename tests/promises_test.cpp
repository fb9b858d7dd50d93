#include "soak/promises.h"

#include <doctest/doctest.h>

using namespace lagoonferry::soak;

// A soak whose checks never fail proves nothing, so each check is shown to fail.

TEST_CASE("the soak notices a request that runs twice, or after it was refused, or that nobody sent")
{
    promises checks;
    checks.on_sent("a", request_kind::unsafe);
    checks.on_run("a", "t0");
    CHECK(checks.violations().empty());
    checks.on_run("a", "t1");
    CHECK(checks.violations().size() == 1);

    checks.on_sent("b", request_kind::unsafe);
    checks.on_refused("b", 503);
    checks.on_run("b", "t0");
    CHECK(checks.violations().size() == 2);

    checks.on_sent("c", request_kind::unsafe);
    checks.on_run("c", "t0");
    checks.on_refused("c", 503);
    CHECK(checks.violations().size() == 3);

    checks.on_run("d", "t0");
    CHECK(checks.violations().size() == 4);
}

TEST_CASE("the soak lets idempotent requests and streams run more than once")
{
    promises checks;
    checks.on_sent("a", request_kind::safe);
    checks.on_sent("b", request_kind::stream);
    for (const char* id : {"a", "b"}) {
        checks.on_run(id, "t0");
        checks.on_run(id, "t1");
    }
    CHECK(checks.violations().empty());
}

TEST_CASE("the soak notices a missing or repeated event and an answer of another request")
{
    promises checks;
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

TEST_CASE("the soak notices a budget that is exceeded by more than one turn, once for each program")
{
    promises checks;
    checks.on_tokens("p", 180, 100, 80);
    CHECK(checks.violations().empty());
    checks.on_tokens("p", 1, 100, 80);
    checks.on_tokens("p", 1, 100, 80);
    CHECK(checks.violations().size() == 1);
}
