#include "routing/target_directory.h"

#include <doctest/doctest.h>

using namespace lagoonferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

target_change entry(std::string id, std::uint64_t revision, std::uint64_t sequence, bool draining = false,
                    std::uint64_t start = 100)
{
    target_record record;
    record.id = id;
    record.service = "model";
    record.address = "10.0.0.1:80";
    record.start = start;
    record.sequence = sequence;
    record.draining = draining;
    return {id, revision, record};
}

target_change removal(std::string id, std::uint64_t revision)
{
    return {id, revision, std::nullopt, true};
}

bool usable(const target_directory& directory, std::string_view id, timestamp now)
{
    return directory.find_usable(id, now) != nullptr;
}

void apply(target_directory& directory, target_change change, timestamp now)
{
    directory.apply(std::span(&change, 1), now);
}

} // namespace

TEST_CASE("a draining target gets no new requests, even if an older record of it is written late")
{
    target_directory directory;
    apply(directory, entry("a", 1, 5), seconds(1));
    CHECK(usable(directory, "a", seconds(1)));
    apply(directory, entry("a", 2, 6, true), seconds(2));
    CHECK_FALSE(usable(directory, "a", seconds(2)));
    apply(directory, entry("a", 3, 4), seconds(3));
    CHECK_FALSE(usable(directory, "a", seconds(3)));
    apply(directory, entry("a", 4, 7), seconds(4));
    CHECK_FALSE(usable(directory, "a", seconds(4)));
}

TEST_CASE("a target that restarts with the same id is usable, and a record of its former start is ignored")
{
    target_directory directory;
    apply(directory, entry("a", 1, 50, true, 100), seconds(1));
    apply(directory, entry("a", 2, 1, false, 200), seconds(2));
    CHECK(usable(directory, "a", seconds(2)));
    apply(directory, entry("a", 3, 51, true, 100), seconds(3));
    CHECK(usable(directory, "a", seconds(3)));
}

TEST_CASE("a removed target is unusable at once if the store is available")
{
    target_directory directory;
    apply(directory, entry("a", 1, 1), seconds(1));
    apply(directory, removal("a", 2), seconds(2));
    CHECK_FALSE(usable(directory, "a", seconds(2)));
    CHECK_FALSE(directory.listed("a"));
}

TEST_CASE("a target whose entry expired during an outage of the store stays usable until it can be written again")
{
    target_directory directory;
    apply(directory, entry("a", 1, 1), seconds(1));
    apply(directory, entry("b", 2, 1), seconds(1));
    directory.note_store_failure(seconds(10));
    apply(directory, removal("a", 3), seconds(11));
    apply(directory, removal("b", 4), seconds(11));
    CHECK(usable(directory, "a", seconds(11)));
    apply(directory, entry("a", 5, 2), seconds(12));
    CHECK(usable(directory, "a", seconds(20)));
    CHECK(usable(directory, "b", seconds(13)));
    CHECK_FALSE(usable(directory, "b", milliseconds(13'400)));
}

TEST_CASE("a removal long after an outage does not count as an expired entry")
{
    target_directory directory;
    apply(directory, entry("a", 1, 1), seconds(1));
    directory.note_store_failure(seconds(10));
    apply(directory, removal("a", 3), seconds(14));
    CHECK_FALSE(usable(directory, "a", seconds(14)));
}

TEST_CASE("a gateway that gets an expired entry from another gateway keeps the target as well")
{
    target_directory directory;
    apply(directory, entry("a", 1, 1), seconds(1));
    target_change lapsed = removal("a", 2);
    lapsed.maybe_lapsed = true;
    apply(directory, lapsed, seconds(5));
    CHECK(usable(directory, "a", seconds(6)));
}

TEST_CASE("a gateway that alone cannot reach the store stops using a target whose removal another gateway has read")
{
    target_directory directory;
    apply(directory, entry("a", 1, 1), seconds(1));
    directory.note_store_failure(seconds(2));
    const std::vector<target_change> told{removal("a", 2)};
    directory.apply_peer_changes(told, seconds(2));
    CHECK_FALSE(usable(directory, "a", seconds(2)));
}

TEST_CASE("a draining target whose entry expires does not become usable again")
{
    target_directory directory;
    apply(directory, entry("a", 1, 1, true), seconds(1));
    directory.note_store_failure(seconds(2));
    apply(directory, removal("a", 2), seconds(3));
    CHECK_FALSE(usable(directory, "a", seconds(3)));
}

TEST_CASE("a target whose entry becomes unreadable is removed, and other targets stay usable")
{
    target_directory directory;
    apply(directory, entry("a", 1, 1), seconds(1));
    apply(directory, entry("b", 2, 1), seconds(1));
    apply(directory, removal("a", 3), seconds(2));
    CHECK_FALSE(usable(directory, "a", seconds(2)));
    CHECK(usable(directory, "b", seconds(2)));
}

TEST_CASE("a complete list removes the targets that it lacks, but not those added after its revision")
{
    target_directory directory;
    apply(directory, entry("a", 1, 1), seconds(1));
    apply(directory, entry("c", 9, 1), seconds(1));
    const std::vector<target_change> list{entry("b", 3, 1)};
    const auto news = directory.replace(list, 5, seconds(2));
    CHECK_FALSE(usable(directory, "a", seconds(2)));
    CHECK(usable(directory, "b", seconds(2)));
    CHECK(usable(directory, "c", seconds(2)));
    CHECK(news.size() == 2);
    CHECK(directory.revision() == 9);
}

TEST_CASE("a mere heartbeat of a target is not passed on to other gateways")
{
    target_directory directory;
    apply(directory, entry("a", 1, 1), seconds(1));
    const std::vector<target_change> again{entry("a", 2, 2)};
    CHECK(directory.apply(again, seconds(2)).empty());
    CHECK(directory.revision() == 2);
}

TEST_CASE("after an outage expired entries have a grace time that starts at the return of the store")
{
    target_directory directory;
    apply(directory, entry("a", 1, 1), seconds(1));
    apply(directory, entry("b", 2, 1), seconds(1));
    apply(directory, entry("c", 3, 1), seconds(1));
    directory.note_store_failure(seconds(10));
    directory.note_store_failure(seconds(13));
    directory.note_store_success(seconds(14));
    apply(directory, removal("a", 4), seconds(14));
    CHECK(usable(directory, "a", milliseconds(16'200)));
    CHECK_FALSE(usable(directory, "a", milliseconds(16'300)));
    // Removed within the grace time: it is not extended.
    apply(directory, removal("b", 5), milliseconds(16'000));
    CHECK(usable(directory, "b", milliseconds(16'200)));
    CHECK_FALSE(usable(directory, "b", milliseconds(16'300)));
    apply(directory, removal("c", 6), milliseconds(16'300));
    CHECK_FALSE(usable(directory, "c", milliseconds(16'300)));
}

TEST_CASE("a single failed call to the store does not keep a target that has left in use")
{
    target_directory directory;
    apply(directory, entry("a", 1, 1), seconds(1));
    directory.note_store_failure(seconds(10));
    directory.note_store_success(milliseconds(10'400));
    apply(directory, removal("a", 2), milliseconds(10'500));
    CHECK_FALSE(usable(directory, "a", milliseconds(10'500)));
}

TEST_CASE("other gateways use an expired entry no longer than the gateway that has read its removal")
{
    target_directory reader;
    target_directory receiver;
    apply(reader, entry("a", 1, 1), seconds(1));
    apply(receiver, entry("a", 1, 1), seconds(1));
    reader.note_store_failure(seconds(10));
    reader.note_store_success(seconds(12));
    const std::vector<target_change> removed{removal("a", 2)};
    const auto news = reader.apply(removed, seconds(14));
    receiver.apply_peer_changes(news, seconds(14));
    for (const target_directory* directory : {&reader, &receiver}) {
        CHECK(usable(*directory, "a", milliseconds(14'250)));
        CHECK_FALSE(usable(*directory, "a", milliseconds(14'350)));
    }
}

// Guards against review case 13: what a gateway that was cut off from the store says of it was taken over by gateways
// that had reached the store all the time.
TEST_CASE("a gateway whose store calls succeed does not take over that a removed entry may have expired")
{
    target_directory reader;
    target_directory receiver;
    for (target_directory* directory : {&reader, &receiver}) {
        apply(*directory, entry("a", 1, 1), seconds(1));
    }
    reader.note_store_failure(seconds(10));
    for (timestamp now = seconds(9); now <= seconds(14); now += milliseconds(700)) {
        receiver.note_store_success(now);
    }
    reader.note_store_success(seconds(14));
    const std::vector<target_change> removed{removal("a", 2)};
    const auto news = reader.apply(removed, seconds(14));
    const auto applied = receiver.apply_peer_changes(news, seconds(14));
    CHECK_FALSE(usable(receiver, "a", seconds(14)));
    REQUIRE(applied.size() == 1);
    CHECK_FALSE(applied.front().maybe_lapsed);
}

TEST_CASE("a target that has said that it leaves stays excluded when its entry expires and is written again")
{
    target_directory directory;
    apply(directory, entry("a", 1, 1), seconds(1));
    directory.mark_leaving("a", 100);
    apply(directory, removal("a", 2), seconds(2));
    apply(directory, entry("b", 3, 1), seconds(100)); // removes expired tombstones
    apply(directory, entry("a", 4, 9), seconds(101));
    CHECK_FALSE(usable(directory, "a", seconds(101)));
    apply(directory, entry("a", 5, 1, false, 200), seconds(102));
    CHECK(usable(directory, "a", seconds(102)));
}
