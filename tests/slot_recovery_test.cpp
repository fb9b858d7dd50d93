#include "dispatch/make_dispatcher.h"
#include "dispatch/slot_holder.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace lagoonferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr timestamp start = seconds(100);
constexpr std::uint64_t former_epoch = 5;
const std::string group = "model";

slot_dispatcher dispatcher(std::uint64_t epoch, timestamp now = start)
{
    auto d = make_dispatcher({}, epoch, 7, now);
    d.set_target({"engine-0", "model", "fd-1", 10}, now);
    return d;
}

slot_acquire make_acquire()
{
    slot_acquire m;
    m.model = "model";
    m.account = "account";
    m.priority = service_class::safety;
    m.prompt_tokens = 100;
    return m;
}

slot_acquire acquire_of(const std::string& holder, std::uint64_t request)
{
    auto m = make_acquire();
    m.holder = holder;
    m.request = request;
    return m;
}

template <class Message>
std::size_t count(const std::vector<outgoing_slot_message>& messages)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(messages, [](const auto& m) { return std::holds_alternative<Message>(m.message); }));
}

template <class Message>
std::vector<std::pair<std::string, Message>> sent(const std::vector<group_message>& messages)
{
    std::vector<std::pair<std::string, Message>> found;
    for (const auto& m : messages) {
        if (const auto* it = std::get_if<Message>(&m.message)) {
            found.emplace_back(m.to, *it);
        }
    }
    return found;
}

slot_report report(const std::string& holder, std::uint64_t epoch, std::size_t slots)
{
    slot_report m{holder, {}, true, epoch, 1, 0, 1};
    for (std::uint64_t n = 1; n <= slots; ++n) {
        m.slots.push_back({1000 + n, n, "engine-0", service_class::normal, n, 100});
    }
    return m;
}

/// Sends 40 bulk acquires and returns the number of grants.
std::size_t bulk_grants(slot_dispatcher& d, timestamp now)
{
    std::size_t granted = 0;
    for (std::uint64_t n = 0; n < 40; ++n) {
        auto m = acquire_of("entry-1", 5000 + n);
        m.priority = service_class::bulk;
        granted += count<slot_grant>(d.handle(m, now));
    }
    return granted;
}

/// Sends 30 urgent acquires.
void send_urgent_acquires(slot_dispatcher& d, timestamp now)
{
    for (std::uint64_t n = 100; n < 130; ++n) {
        d.handle(acquire_of("entry-1", n), now);
    }
}

/// Cancels all urgent acquires.
void cancel_urgent_acquires(slot_dispatcher& d, timestamp now)
{
    for (std::uint64_t n = 100; n < 130; ++n) {
        d.handle(slot_cancel{n, "entry-1"}, now);
    }
}

} // namespace

TEST_CASE("a new dispatcher grants nothing before every holder has reported, so that no target exceeds its limit")
{
    auto d = dispatcher(former_epoch + 1);
    d.set_holders({"entry-1", "entry-2"});
    d.handle(report("entry-1", former_epoch + 1, 0), start);
    CHECK(count<slot_grant>(d.handle(acquire_of("entry-1", 50), start + milliseconds(1))) == 0);
    CHECK(count<slot_query>(d.tick(start + milliseconds(50))) == 1);
    const auto granted = d.handle(report("entry-2", former_epoch + 1, 9), start + milliseconds(60));
    CHECK(count<slot_grant>(granted) == 1);
    CHECK(d.targets()[0].in_flight == 10);
    CHECK(count<slot_grant>(d.handle(acquire_of("entry-1", 51), start + milliseconds(70))) == 0);
}

TEST_CASE("a holder that never reports delays grants by 2 s only")
{
    auto d = dispatcher(former_epoch + 1);
    d.set_holders({"entry-1", "entry-2"});
    d.handle(report("entry-1", former_epoch + 1, 0), start);
    for (std::uint64_t n = 50; n < 60; ++n) {
        CHECK(count<slot_grant>(d.handle(acquire_of("entry-1", n), start + milliseconds(1999))) == 0);
    }
    CHECK(count<slot_grant>(d.tick(start + seconds(2))) == 5);
    CHECK(count<slot_grant>(d.tick(start + seconds(10))) == 5);
}

// If the backlog of urgent calls after a loss counts as lasting demand, reserved slots stay empty for more than 30 s.
// Without a loss the reservation decays with a half-life of 60 s.
TEST_CASE("the demand of a backlog of urgent calls decays quickly after the loss of a target")
{
    for (const bool lost : {false, true}) {
        auto d = make_dispatcher({}, former_epoch + 1, 7, start);
        for (int n = 0; n < 4; ++n) {
            d.set_target({"engine-" + std::to_string(n), "model", "fd-1", 10}, start);
        }
        send_urgent_acquires(d, start + seconds(20));
        d.tick(start + seconds(20));
        if (lost) {
            d.set_target({"engine-3", "model", "fd-1", 10, target_state::gone}, start + seconds(21));
        }
        d.tick(start + seconds(21));
        cancel_urgent_acquires(d, start + seconds(22));
        d.tick(start + seconds(41));
        const std::size_t granted = bulk_grants(d, start + seconds(41));
        CHECK(granted ==
              (lost ? 15 : 12)); // half of 3 targets; or 40 slots minus 1.3 times 24, rounded up for each target
    }
}

TEST_CASE("the demand of a backlog of urgent calls decays quickly after a takeover")
{
    auto d = make_dispatcher({}, former_epoch + 1, 7, start);
    for (int n = 0; n < 4; ++n) {
        d.set_target({"engine-" + std::to_string(n), "model", "fd-1", 10}, start);
    }
    d.set_holders({"entry-1"});
    d.tick(start + milliseconds(50));
    send_urgent_acquires(d, start + milliseconds(100));
    d.handle(report("entry-1", former_epoch + 1, 0), start + seconds(1));
    d.tick(start + seconds(1));
    cancel_urgent_acquires(d, start + seconds(2));
    d.tick(start + seconds(21));
    CHECK(bulk_grants(d, start + seconds(21)) == 20); // half of 4 targets
}

// After the loss of a failure domain the calls of its holders are still queued. With 40 instances, grants to these
// calls kept a tenth of the slots unused for 20 s.
TEST_CASE("calls of a silent holder are served after those of all other holders")
{
    auto d = dispatcher(former_epoch + 1);
    const auto first = d.handle(acquire_of("entry-1", 1), start + seconds(20));
    REQUIRE(count<slot_grant>(first) == 1);
    for (std::uint64_t n = 2; n <= 10; ++n) {
        REQUIRE(count<slot_grant>(d.handle(acquire_of("entry-1", n), start + seconds(20))) == 1);
    }
    // The holder dies after this acquire.
    REQUIRE(count<slot_grant>(d.handle(acquire_of("entry-2", 1), start + seconds(20))) == 0);
    REQUIRE(count<slot_grant>(d.handle(acquire_of("entry-1", 11), start + seconds(22))) == 0);
    slot_release release;
    release.slot = std::get<slot_grant>(first.front().message).slot;
    release.holder = "entry-1";
    const auto next = d.handle(release, start + seconds(23));
    const auto it =
        std::ranges::find_if(next, [](const auto& m) { return std::holds_alternative<slot_grant>(m.message); });
    REQUIRE(it != next.end());
    CHECK(it->to == "entry-1");
}

TEST_CASE("waiting calls of a dead holder are dropped and counted")
{
    auto d = dispatcher(former_epoch + 1);
    for (std::uint64_t n = 1; n <= 10; ++n) {
        d.handle(acquire_of("entry-2", n), start + seconds(20));
    }
    d.handle(acquire_of("entry-1", 1), start + seconds(20));
    d.handle(acquire_of("entry-1", 2), start + seconds(20));
    REQUIRE(d.counters().waiting == 2);
    slot_progress alive;
    alive.holder = "entry-2"; // its slots do not expire
    for (int s = 25; s <= 80; s += 5) {
        d.handle(alive, start + seconds(s));
        d.tick(start + seconds(s));
    }
    CHECK(d.counters().abandoned == 0);
    d.handle(alive, start + seconds(81));
    d.tick(start + seconds(81));
    CHECK(d.counters().abandoned == 2);
    CHECK(d.counters().waiting == 0);
}

TEST_CASE("a dispatcher that gets a report with a higher epoch takes over with an even higher one")
{
    auto d = dispatcher(3);
    const auto out = d.handle(report("entry-1", former_epoch, 2), start);
    REQUIRE(count<slot_query>(out) == 1);
    const auto it =
        std::ranges::find_if(out, [](const auto& m) { return std::holds_alternative<slot_query>(m.message); });
    CHECK(std::get<slot_query>(it->message).epoch > former_epoch);
}

TEST_CASE("a replaced dispatcher stops granting once a holder sends a higher epoch")
{
    auto d = dispatcher(former_epoch);
    const auto warm = start + seconds(3);
    CHECK(count<slot_grant>(d.handle(acquire_of("entry-1", 1), warm)) == 1);
    d.handle(slot_epoch{former_epoch + 1}, warm);
    const auto answer = d.handle(acquire_of("entry-1", 2), warm);
    CHECK(count<slot_grant>(answer) == 0);
    // With the epoch the holder sends a report instead of retransmitting the acquire in vain.
    CHECK(count<slot_epoch>(answer) == 1);
    CHECK(count<slot_grant>(d.tick(warm + seconds(20))) == 0);
    // The report of a holder that still follows the dispatcher makes it take over again.
    d.handle(report("entry-1", former_epoch + 1, 0), warm + seconds(20));
    const auto later = warm + seconds(23);
    CHECK(count<slot_grant>(d.handle(acquire_of("entry-1", 3), later)) == 1);
}

TEST_CASE("a holder rejects the grant of a dispatcher that was replaced while it was paused")
{
    slot_holder holder("entry-1");
    holder.set_dispatchers(group, {"dispatch-1", "dispatch-2"});
    const auto request = holder.acquire(group, make_acquire(), start);
    holder.due(start);
    holder.handle(group, "dispatch-2", slot_query{former_epoch + 1}, start + milliseconds(10));
    CHECK(holder.dispatcher_of(group) == "dispatch-2");
    const slot_grant late{request, 77, "engine-0", former_epoch};
    CHECK_FALSE(holder.handle(group, "dispatch-1", late, start + milliseconds(20)));
    CHECK(holder.held() == 0);
    const auto out = holder.due(start + milliseconds(20));
    const auto returned = sent<slot_release>(out);
    REQUIRE(returned.size() == 1);
    CHECK(returned[0].first == "dispatch-1");
    CHECK(returned[0].second.slot == 77);
    const auto epochs = sent<slot_epoch>(out);
    REQUIRE(epochs.size() == 1);
    CHECK(epochs[0].second.epoch == former_epoch + 1);
    const slot_grant valid{request, 78, "engine-0", former_epoch + 1};
    CHECK(holder.handle(group, "dispatch-2", valid, start + milliseconds(30)));
}

TEST_CASE("a holder switches from a silent dispatcher to the next one after 1 s, before membership presumes it down")
{
    slot_holder holder("entry-1");
    holder.set_dispatchers(group, {"dispatch-1", "dispatch-2"});
    holder.acquire(group, make_acquire(), start);
    holder.due(start);
    holder.due(start + milliseconds(950));
    CHECK(holder.dispatcher_of(group) == "dispatch-1");
    const auto out = holder.due(start + seconds(1));
    CHECK(holder.dispatcher_of(group) == "dispatch-2");
    CHECK(sent<slot_report>(out).at(0).first == "dispatch-2");
    CHECK(sent<slot_acquire>(out).at(0).first == "dispatch-2");
}

TEST_CASE("a holder stays with a dispatcher that replies, although its call has to wait")
{
    slot_holder holder("entry-1");
    holder.set_dispatchers(group, {"dispatch-1", "dispatch-2"});
    holder.acquire(group, make_acquire(), start);
    for (auto now = start; now < start + seconds(5); now += milliseconds(50)) {
        if (!sent<slot_acquire>(holder.due(now)).empty()) {
            holder.handle(group, "dispatch-1", slot_epoch{former_epoch}, now);
        }
    }
    CHECK(holder.dispatcher_of(group) == "dispatch-1");
}

TEST_CASE("a report of several parts frees none of its slots, whatever the order of the parts")
{
    constexpr std::size_t held = 40;
    auto d = make_dispatcher({}, former_epoch, 7, start);
    d.set_target({"engine-0", "model", "fd-1", 100}, start);
    slot_holder holder("entry-1");
    holder.set_dispatchers(group, {"dispatch-1"});
    const auto warm = start + seconds(3);
    for (std::size_t n = 0; n < held; ++n) {
        holder.acquire(group, make_acquire(), warm);
    }
    for (const auto& [to, m] : sent<slot_acquire>(holder.due(warm))) {
        for (const auto& answer : d.handle(m, warm)) {
            holder.handle(group, "dispatch-1", answer.message, warm);
        }
    }
    REQUIRE(holder.held() == held);
    holder.handle(group, "dispatch-1", slot_query{former_epoch}, warm);
    auto parts = sent<slot_report>(holder.due(warm + seconds(9)));
    REQUIRE(parts.size() > 1);
    std::ranges::reverse(parts);
    for (const auto& [to, m] : parts) {
        d.handle(m, warm + seconds(9));
    }
    CHECK(d.counters().slots == held);
}

TEST_CASE("slots that were granted to an earlier process of a holder are detected and freed")
{
    auto d = dispatcher(former_epoch);
    const auto warm = start + seconds(3);
    CHECK(count<slot_grant>(d.handle(acquire_of("entry-1", 1), warm)) == 1);
    // The holder restarts while the grant may still be in transit, so the report does not free the slot yet.
    d.handle(report("entry-1", 0, 0), warm + seconds(1));
    CHECK(d.counters().slots == 1);
    CHECK(count<slot_query>(d.tick(warm + seconds(4))) == 1);
    d.handle(report("entry-1", former_epoch, 0), warm + seconds(4));
    CHECK(d.counters().slots == 0);
}

TEST_CASE("a target that fails its calls gets one call at a time until one succeeds")
{
    auto d = dispatcher(former_epoch);
    auto now = start + seconds(3);
    for (std::uint64_t n = 1; n <= 3; ++n) {
        const auto out = d.handle(acquire_of("entry-1", n), now);
        REQUIRE(count<slot_grant>(out) == 1);
        slot_release failed{.slot = std::get<slot_grant>(out[0].message).slot, .holder = "entry-1"};
        failed.failed = true;
        d.handle(failed, now);
    }
    CHECK(count<slot_grant>(d.handle(acquire_of("entry-1", 10), now)) == 0);
    d.handle(acquire_of("entry-1", 11), now);
    now += seconds(2);
    const auto probe = d.tick(now);
    REQUIRE(count<slot_grant>(probe) == 1);
    const slot_release good{.slot = std::get<slot_grant>(probe[0].message).slot, .holder = "entry-1", .tokens = 5};
    CHECK(count<slot_grant>(d.handle(good, now)) == 1);
}

TEST_CASE("a waiting call whose last target is lost is refused with a retry time instead of waiting for its deadline")
{
    auto d = dispatcher(former_epoch);
    const auto warm = start + seconds(3);
    for (std::uint64_t n = 1; n <= 10; ++n) {
        d.handle(acquire_of("entry-1", n), warm);
    }
    CHECK(d.handle(acquire_of("entry-1", 11), warm).empty());
    d.set_target({"engine-0", "model", "fd-1", 10, target_state::gone}, warm);
    const auto out = d.tick(warm + milliseconds(50));
    REQUIRE(count<slot_refuse>(out) == 1);
    const auto& refused = std::get<slot_refuse>(out[0].message);
    CHECK(refused.reason == result_code::no_target);
    CHECK(refused.retry_after > milliseconds(0));
}
