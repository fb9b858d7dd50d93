#include "routing/retry_after_policy.h"

#include <doctest/doctest.h>

#include <random>

using namespace lagoonferry;
using std::chrono::milliseconds;

namespace {

/// Returns whether a turn that is first refused at `now` is served. The caller makes three attempts with a pause of 0.1
/// to 0.4 s between them, and retries once in each attempt after the given delay. The store is available from
/// `available_from` on.
bool survives_outage(retry_after_policy& policy, std::minstd_rand& random, milliseconds now,
                     milliseconds available_from)
{
    std::uniform_int_distribution<int> pause(100, 400);
    for (int attempt = 0; attempt < 3; ++attempt) {
        if (now >= available_from) {
            return true;
        }
        now += policy.after(refusal_cause::store_unavailable);
        if (now >= available_from) {
            return true;
        }
        now += milliseconds(pause(random));
    }
    return false;
}

} // namespace

// Simulates an outage of the store of 3.5 s. With retry delays of at most 0.45 s the callers had used up their attempts
// after 1.4 s, and their programs failed.
TEST_CASE("callers that retry while the store is unavailable survive an outage of 3.5 s")
{
    std::minstd_rand random(7);
    retry_after_policy policy(7);
    constexpr milliseconds outage{3'500};
    constexpr int turns = 1'000;
    std::uniform_int_distribution<int> arrival(0, static_cast<int>(outage.count()) - 1);
    int served = 0;
    for (int n = 0; n < turns; ++n) {
        served += survives_outage(policy, random, milliseconds(arrival(random)), outage) ? 1 : 0;
    }
    CHECK(served >= turns * 95 / 100);
}

// Callers honour a retry delay of up to a third of their remaining time, which is 5 s here.
TEST_CASE("retry delays never exceed what callers honour, and they have jitter")
{
    retry_after_policy policy(3);
    milliseconds shortest{10'000};
    milliseconds longest{0};
    for (int n = 0; n < 1'000; ++n) {
        const milliseconds after = policy.after(refusal_cause::store_unavailable);
        shortest = std::min(shortest, after);
        longest = std::max(longest, after);
    }
    CHECK(longest <= milliseconds(5'000) / 3);
    CHECK(longest - shortest >= milliseconds(500));
    CHECK(policy.after(refusal_cause::busy) < milliseconds(500));
}
