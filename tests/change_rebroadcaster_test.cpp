#include "routing/change_rebroadcaster.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace lagoonferry;

namespace {

target_change removal(std::string id, std::uint64_t revision)
{
    return {std::move(id), revision, std::nullopt, true, false};
}

bool tells(const change_broadcast& told, std::string_view id)
{
    return std::ranges::find(told.changes, id, &target_change::id) != told.changes.end();
}

} // namespace

// A target got requests 2,024 ms after its removal (trouble-1 of rbz-lagoon, seed 455257065959; bound 2,000 ms), at one
// gateway of seven; a gateway that lost the datagram had to ask the store, which may fail or be slow.
TEST_CASE("a gateway that lost one datagram has its changes with the next, and is not behind")
{
    change_rebroadcaster repeater;
    repeater.next(55, 59, std::vector{removal("a", 59)});
    repeater.next(59, 60, std::vector{removal("b", 60)}); // lost on the way to a gateway that knows revision 59
    const change_broadcast next = repeater.next(60, 61, std::vector{removal("c", 61)});
    CHECK(next.from <= 59);
    CHECK(tells(next, "b"));
    CHECK(tells(next, "c"));
    CHECK_FALSE(tells(next, "a"));
}

TEST_CASE("news are told twice also when nothing new follows")
{
    change_rebroadcaster repeater;
    repeater.next(59, 60, std::vector{removal("b", 60)});
    CHECK(tells(repeater.next(60, 60, {}), "b"));
    CHECK_FALSE(tells(repeater.next(60, 60, {}), "b"));
}

// What is told must cover the whole range that it claims.
TEST_CASE("news of a read that does not follow the one before are told alone")
{
    change_rebroadcaster repeater;
    repeater.next(50, 55, std::vector{removal("a", 55)});
    const change_broadcast next = repeater.next(58, 60, std::vector{removal("b", 60)});
    CHECK(next.from == 58);
    CHECK_FALSE(tells(next, "a"));
}
