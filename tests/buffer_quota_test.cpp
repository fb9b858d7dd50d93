#include "net/buffer_quota.h"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

using namespace lagoonferry;

TEST_CASE("buffers together never hold more than their quota, and a new one still gets some of it")
{
    constexpr std::size_t limit = 1'000;
    buffer_quota quota(limit);
    std::vector<std::unique_ptr<buffer_share>> shares;
    for (int n = 0; n < 9; ++n) {
        shares.push_back(std::make_unique<buffer_share>(quota));
        for (std::size_t bytes = 1; bytes <= limit && shares.back()->resize(bytes); ++bytes) {
        }
        CHECK(quota.held_bytes() < limit);
    }
    buffer_share late(quota);
    CHECK(late.limit() > 0);
    CHECK(late.resize(late.limit()));
    CHECK_FALSE(late.resize(late.limit() + 1));
}

TEST_CASE("a single buffer may hold half of the quota, shrink at any time, and returns its bytes when it ends")
{
    buffer_quota quota(1'000);
    {
        buffer_share share(quota);
        CHECK(share.resize(500));
        CHECK_FALSE(share.resize(501));
        CHECK(quota.held_bytes() == 500);
        buffer_share other(quota);
        CHECK(other.limit() == 250);
        CHECK(share.resize(100));
        CHECK(other.limit() == 450);
    }
    CHECK(quota.held_bytes() == 0);
}
