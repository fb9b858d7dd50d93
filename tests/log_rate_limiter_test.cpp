#include "util/log_rate_limiter.h"

#include <doctest/doctest.h>

using namespace lagoonferry;

TEST_CASE("a flood of log lines is cut to the rate, and the number of lost lines is known")
{
    log_rate_limiter lines(100, 50);
    int written = 0;
    for (int n = 0; n < 10'000; ++n) {
        written += lines.try_acquire(std::chrono::microseconds(1'000'000 + n * 100)) ? 1 : 0;
    }
    CHECK(written >= 145);
    CHECK(written <= 151);
    CHECK(lines.take_dropped_count() == static_cast<std::size_t>(10'000 - written));
    CHECK(lines.take_dropped_count() == 0);
    CHECK(lines.try_acquire(std::chrono::seconds(10)));
}
