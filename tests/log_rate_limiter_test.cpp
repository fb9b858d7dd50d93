#include "util/log_rate_limiter.h"

#include <doctest/doctest.h>

using namespace lagoonferry;

TEST_CASE("a flood of log lines is limited to the configured rate, and dropped lines are counted")
{
    log_rate_limiter limiter(100, 50);
    int written = 0;
    for (int n = 0; n < 10'000; ++n) {
        written += limiter.try_acquire(std::chrono::microseconds(1'000'000 + n * 100)) ? 1 : 0;
    }
    CHECK(written >= 145);
    CHECK(written <= 151);
    CHECK(limiter.take_dropped_count() == static_cast<std::size_t>(10'000 - written));
    CHECK(limiter.take_dropped_count() == 0);
    CHECK(limiter.try_acquire(std::chrono::seconds(10)));
}
