#include "gateway/poll_schedule.h"

#include <doctest/doctest.h>

using namespace lagoonferry;

TEST_CASE("gateways poll one after the other, and all before the drain timeout of a target")
{
    const poll_timing timing;
    constexpr timestamp drain_timeout = std::chrono::seconds(2);
    constexpr timestamp call_and_datagram = std::chrono::milliseconds(100);
    for (std::size_t rank = 0; rank < 400; ++rank) {
        CHECK(poll_age(rank, timing) + call_and_datagram < drain_timeout);
        CHECK(poll_age(rank, timing) >= poll_age(0, timing));
    }
    CHECK(poll_age(1, timing) - poll_age(0, timing) >= 2 * call_and_datagram);
}

TEST_CASE("gateways of a large fleet poll one after the other, and all before the drain timeout of a target")
{
    constexpr timestamp drain_timeout = std::chrono::seconds(4);
    constexpr timestamp call_and_datagram = std::chrono::milliseconds(100);
    const poll_timing timing = large_fleet_timing(drain_timeout);
    std::size_t soon = 0;
    for (std::size_t rank = 0; rank < 340; ++rank) {
        CHECK(poll_age(rank, timing) + call_and_datagram < drain_timeout);
        soon += poll_age(rank, timing) < std::chrono::milliseconds(1'600) ? 1 : 0;
    }
    CHECK(soon < 340 / 4); // an outage of the store does not make all of them call at once
    CHECK(poll_age(0, timing) == poll_age(0));
    CHECK(poll_backoff(0, true) == poll_backoff(0, false));
    CHECK(poll_backoff(100, true) > 4 * poll_backoff(0, true));
    CHECK(poll_backoff(1'000, true) < std::chrono::seconds(3));
}
