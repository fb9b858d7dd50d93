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
