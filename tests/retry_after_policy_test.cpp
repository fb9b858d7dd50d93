#include "routing/retry_after_policy.h"

#include <doctest/doctest.h>

#include <random>

using namespace lagoonferry;
using std::chrono::milliseconds;

namespace {

/// Returns whether a turn that is first refused at `now` is served: the caller returns once for each attempt at the
/// time advised, and makes three attempts with a pause of 0.1 to 0.4 s between them. The store is back at `back`.
bool outlasts(retry_after_policy& advice, std::minstd_rand& random, milliseconds now, milliseconds back)
{
    std::uniform_int_distribution<int> pause(100, 400);
    for (int attempt = 0; attempt < 3; ++attempt) {
        if (now >= back) {
            return true;
        }
        now += advice.after(refusal_cause::store_unavailable);
        if (now >= back) {
            return true;
        }
        now += milliseconds(pause(random));
    }
    return false;
}

} // namespace

// Replays an outage of the store of 3.5 s, as on the users' days. Callers that were told to return within 0.45 s had
// used up their attempts after 1.4 s, and their programs failed.
TEST_CASE("turns that wait for the store outlast an outage of 3.5 s")
{
    std::minstd_rand random(7);
    retry_after_policy advice(7);
    constexpr milliseconds outage{3'500};
    constexpr int turns = 1'000;
    std::uniform_int_distribution<int> arrival(0, static_cast<int>(outage.count()) - 1);
    int served = 0;
    for (int n = 0; n < turns; ++n) {
        served += outlasts(advice, random, milliseconds(arrival(random)), outage) ? 1 : 0;
    }
    CHECK(served >= turns * 95 / 100);
}

// Callers honour a third of the time that they have left of 5 s.
TEST_CASE("callers are never told to return later than they honour, and return at different times")
{
    retry_after_policy advice(3);
    milliseconds least{10'000};
    milliseconds most{0};
    for (int n = 0; n < 1'000; ++n) {
        const milliseconds after = advice.after(refusal_cause::store_unavailable);
        least = std::min(least, after);
        most = std::max(most, after);
    }
    CHECK(most <= milliseconds(5'000) / 3);
    CHECK(most - least >= milliseconds(500));
    CHECK(advice.after(refusal_cause::busy) < milliseconds(500));
}
