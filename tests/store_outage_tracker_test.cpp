#include "routing/store_outage_tracker.h"

#include <doctest/doctest.h>

using namespace lagoonferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr timestamp whole_grace = outage_timing{}.lapse_grace;

} // namespace

// Review case 13, at the gateway that was cut off: it hears of the reads of the one that replaces it.
TEST_CASE("failed calls of a gateway are no outage of the store while other gateways get responses")
{
    store_outage_tracker tracker;
    tracker.note_response(seconds(9));
    for (timestamp now = seconds(10); now < seconds(14); now += milliseconds(800)) {
        tracker.note_failure(now);
        tracker.note_failure(now + milliseconds(400));
        tracker.note_response(now + milliseconds(700));
    }
    tracker.note_response(seconds(14));
    CHECK(tracker.grace_left(seconds(14)) == timestamp{});
}

// A gateway that does not read the list makes its first call late in a short outage. When the first reader does not
// return with the store, such a one reads the removals.
TEST_CASE("one failed call shows an outage if no gateway had a response for a long time")
{
    store_outage_tracker tracker;
    tracker.note_response(seconds(10));
    tracker.note_failure(seconds(12));
    tracker.note_response(milliseconds(12'400));
    CHECK(tracker.grace_left(milliseconds(12'400)) == whole_grace);
}

// The gateway that replaces a lost reader makes its first call about a second after the reader's last one.
TEST_CASE("a failed call of the next reader is no outage of the store")
{
    store_outage_tracker tracker;
    tracker.note_response(seconds(10));
    tracker.note_failure(milliseconds(11'000));
    tracker.note_response(milliseconds(11'400));
    CHECK(tracker.grace_left(milliseconds(11'400)) == timestamp{});
}

TEST_CASE("an outage of the store ends with its first response to any gateway")
{
    store_outage_tracker tracker;
    tracker.note_response(seconds(9));
    tracker.note_failure(seconds(10));
    tracker.note_response(seconds(13));
    tracker.note_response(seconds(14));
    CHECK(tracker.grace_left(seconds(14)) == whole_grace - seconds(1));
}

TEST_CASE("a claimed outage is accepted unless responses are known from its time, and no longer than that allows")
{
    store_outage_tracker tracker;
    CHECK(tracker.accept_grace(seconds(1), seconds(5)) == seconds(1)); // nothing is known
    tracker.note_response(seconds(10));
    CHECK(tracker.accept_grace(timestamp::max(), seconds(12)) == whole_grace);
    tracker.note_response(seconds(12));
    CHECK(tracker.accept_grace(whole_grace, seconds(12)) == whole_grace);
    for (timestamp now = seconds(12); now <= seconds(14); now += milliseconds(500)) {
        tracker.note_response(now);
    }
    CHECK(tracker.accept_grace(whole_grace, seconds(14)) == whole_grace - seconds(2));
    tracker.note_response(milliseconds(14'500));
    CHECK(tracker.accept_grace(whole_grace, milliseconds(14'500)) == timestamp{});
}

// A gateway that made no call in a short outage reads a later removal.
TEST_CASE("an accepted outage also holds for removals that this gateway finds itself")
{
    store_outage_tracker tracker;
    tracker.note_response(seconds(10));
    tracker.note_response(seconds(12));
    CHECK(tracker.grace_left(seconds(12)) == timestamp{});
    CHECK(tracker.accept_grace(seconds(2), seconds(12)) == seconds(2));
    CHECK(tracker.grace_left(seconds(13)) == seconds(1));
}
