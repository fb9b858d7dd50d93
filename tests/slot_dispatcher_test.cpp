#include "dispatch/document_shares.h"
#include "dispatch/make_dispatcher.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace lagoonferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr timestamp start = seconds(100);
constexpr timestamp warm = start + seconds(3);

slot_dispatcher dispatcher_with(std::size_t targets, std::uint32_t slots, const dispatch_settings& settings = {})
{
    auto d = make_dispatcher(settings, 1, 7, start);
    for (std::size_t n = 0; n < targets; ++n) {
        d.set_target({"engine-" + std::to_string(n), "model", "fd-1", slots}, start);
    }
    return d;
}

slot_acquire call(std::uint64_t request, service_class c = service_class::normal, const std::string& holder = "entry-1")
{
    slot_acquire m;
    m.request = request;
    m.holder = holder;
    m.model = "model";
    m.account = "account";
    m.priority = c;
    m.prompt_tokens = 1000;
    m.expected_output = 100;
    m.prefix = request;
    return m;
}

template <class Message>
std::vector<Message> only(const std::vector<outgoing_slot_message>& messages)
{
    std::vector<Message> found;
    for (const auto& m : messages) {
        if (const auto* it = std::get_if<Message>(&m.message)) {
            found.push_back(*it);
        }
    }
    return found;
}

std::vector<slot_grant> acquire(slot_dispatcher& d, const slot_acquire& m, timestamp now = warm)
{
    return only<slot_grant>(d.handle(m, now));
}

slot_release release_of(std::uint64_t slot, std::uint32_t per_token_us = 30'000)
{
    return {slot, "entry-1", 100'000, per_token_us, 100, 0, false, false};
}

} // namespace

TEST_CASE("a retransmitted acquire gets the same grant, so that a lost datagram does not use up a second slot")
{
    auto d = dispatcher_with(1, 10);
    const auto first = acquire(d, call(1));
    const auto again = acquire(d, call(1));
    REQUIRE(first.size() == 1);
    REQUIRE(again.size() == 1);
    CHECK(first[0].slot == again[0].slot);
    CHECK(d.counters().slots == 1);
}

TEST_CASE("limits are enforced, and a released slot goes to the most urgent class")
{
    auto d = dispatcher_with(1, 2);
    const auto a = acquire(d, call(1, service_class::safety));
    acquire(d, call(2, service_class::safety));
    CHECK(acquire(d, call(3, service_class::normal)).empty());
    CHECK(acquire(d, call(4, service_class::interactive)).empty());
    CHECK(acquire(d, call(5, service_class::safety)).empty());
    const auto granted = only<slot_grant>(d.handle(release_of(a.at(0).slot), warm));
    REQUIRE(granted.size() == 1);
    CHECK(granted[0].request == 5);
}

TEST_CASE("headroom: bulk calls leave slots free for urgent calls")
{
    auto d = dispatcher_with(1, 10);
    std::size_t bulk = 0;
    for (std::uint64_t n = 1; n <= 10; ++n) {
        bulk += acquire(d, call(n, service_class::bulk)).size();
    }
    CHECK(bulk < 10);
    CHECK(acquire(d, call(20, service_class::safety)).size() == 1);
}

TEST_CASE("inside a class the program with the least attained service goes first, but waiting earns credit")
{
    dispatch_settings settings;
    settings.class_share = {1, 1, 1, 1};
    settings.ageing_tokens_per_s = 100;
    auto d = dispatcher_with(1, 2, settings);
    const auto a = acquire(d, call(1));
    const auto b = acquire(d, call(2));
    auto high_service = call(3);
    high_service.attained_service = 500;
    auto low_service = call(4);
    low_service.attained_service = 100;
    acquire(d, high_service);
    acquire(d, low_service);
    CHECK(only<slot_grant>(d.handle(release_of(a.at(0).slot), warm)).at(0).request == 4);
    auto fresh = call(5);
    acquire(d, fresh, warm + seconds(6));
    CHECK(only<slot_grant>(d.handle(release_of(b.at(0).slot), warm + seconds(6))).at(0).request == 3);
}

TEST_CASE("an account with high recent usage goes after another one")
{
    dispatch_settings settings;
    settings.class_share = {1, 1, 1, 1};
    auto d = dispatcher_with(1, 2, settings);
    auto heavy = call(1);
    heavy.account = "heavy";
    const auto a = acquire(d, heavy);
    const auto b = acquire(d, call(2));
    auto more = call(3);
    more.account = "heavy";
    auto other = call(4);
    other.account = "other";
    acquire(d, more);
    acquire(d, other);
    auto release = release_of(a.at(0).slot);
    release.tokens = 5000;
    CHECK(only<slot_grant>(d.handle(release, warm)).at(0).request == 4);
}

TEST_CASE("account weights of the document: at equal usage the account with the higher weight goes first")
{
    for (const bool first_is_heavy : {true, false}) {
        service_document document;
        document.service = "s";
        document.accounts = {{"a", "", first_is_heavy ? 10U : 1U, 1, {}}, {"b", "", first_is_heavy ? 1U : 10U, 1, {}}};
        std::map<std::string, double, std::less<>> weights;
        add_account_weights(document, weights);
        account_usage usage(seconds(30));
        usage.set_weights(weights);
        usage.add("s/a", 1000, warm);
        usage.add("s/b", 1000, warm);
        CHECK((usage.weighted_usage("s/a", warm) < usage.weighted_usage("s/b", warm)) == first_is_heavy);
        CHECK(usage.weighted_usage("s/a", warm) + usage.weighted_usage("s/b", warm) > 1000);
    }
}

TEST_CASE("equal account weights do not change the usage, so that the order is the same as without weights")
{
    account_usage usage(seconds(30));
    usage.set_weights({{"s/a", 7}, {"s/b", 7}});
    usage.add("s/a", 1000, warm);
    CHECK(usage.weighted_usage("s/a", warm) == doctest::Approx(1000));
}

TEST_CASE("the headroom of the document stays free for more urgent classes")
{
    service_document document;
    document.priorities = {{{0, 10}, {1, 20}, {2, 20}, {3, 0}}};
    const auto shares = class_shares(document);
    CHECK(shares[0] == doctest::Approx(1));
    CHECK(shares[1] == doctest::Approx(0.9));
    CHECK(shares[2] == doctest::Approx(0.7));
    CHECK(shares[3] == doctest::Approx(0.5));
    auto d = dispatcher_with(1, 10);
    d.set_class_share(shares);
    std::uint64_t request = 1;
    const auto granted = [&](service_class c) {
        std::size_t count = 0;
        for (int n = 0; n < 20; ++n) {
            count += acquire(d, call(request++, c)).size();
        }
        return count;
    };
    CHECK(granted(service_class::bulk) == 5);
    CHECK(granted(service_class::normal) == 2);
    CHECK(granted(service_class::interactive) == 2);
    CHECK(granted(service_class::safety) == 1);
}

TEST_CASE("a program returns to the target that caches its prefix, unless a cache event reports its eviction")
{
    auto d = dispatcher_with(4, 10);
    auto m = call(1);
    m.prompt_tokens = 20'000;
    const auto first = acquire(d, m);
    d.handle(release_of(first.at(0).slot), warm);
    const auto others = acquire(d, call(50));
    m.request = 2;
    const auto second = acquire(d, m);
    CHECK(second.at(0).target == first.at(0).target);
    d.handle(release_of(second.at(0).slot), warm);
    d.report_cache({first.at(0).target, m.prefix, 0});
    const auto busy = acquire(d, call(51));
    m.request = 3;
    for (const auto& t : d.targets()) {
        if (t.info.id != first.at(0).target) {
            d.report_cache({t.info.id, m.prefix, 20'000});
        }
    }
    CHECK(acquire(d, m).at(0).target != first.at(0).target);
}

TEST_CASE("a leaving target gets no new calls, and the slots of a gone target are dropped")
{
    auto d = dispatcher_with(2, 10);
    d.set_target({"engine-0", "model", "fd-1", 10, target_state::leaving}, warm);
    for (std::uint64_t n = 1; n <= 4; ++n) {
        CHECK(acquire(d, call(n)).at(0).target == "engine-1");
    }
    d.set_target({"engine-1", "model", "fd-1", 10, target_state::gone}, warm);
    CHECK(d.counters().slots == 0);
    const auto refused = only<slot_refuse>(d.handle(call(9), warm));
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == result_code::no_target);
}

TEST_CASE("a call is not granted a slot on a target that it excludes")
{
    auto d = dispatcher_with(2, 10);
    auto m = call(1);
    m.excluded = {"engine-0"};
    CHECK(acquire(d, m).at(0).target == "engine-1");
    m.request = 2;
    m.excluded = {"engine-0", "engine-1"};
    CHECK(only<slot_refuse>(d.handle(m, warm)).at(0).reason == result_code::no_target);
}

TEST_CASE("a call whose deadline cannot be met is refused at once, with a retry time that has jitter")
{
    auto d = dispatcher_with(1, 2);
    acquire(d, call(1, service_class::safety));
    acquire(d, call(2, service_class::safety));
    std::vector<milliseconds> times;
    for (std::uint64_t n = 3; n < 6; ++n) {
        auto m = call(n);
        m.deadline = milliseconds(500);
        const auto refused = only<slot_refuse>(d.handle(m, warm));
        REQUIRE(refused.size() == 1);
        CHECK(refused[0].reason == result_code::deadline_exceeded);
        CHECK(refused[0].retry_after.count() > 0);
        times.push_back(refused[0].retry_after);
    }
    CHECK_FALSE((times[0] == times[1] && times[1] == times[2]));
    CHECK(d.counters().waiting == 0);
}

TEST_CASE("a full queue refuses calls, and refuses those of new programs first")
{
    dispatch_settings settings;
    settings.max_queue_per_target = {4, 4, 4, 4};
    auto d = dispatcher_with(1, 2, settings);
    acquire(d, call(1, service_class::safety));
    acquire(d, call(2, service_class::safety));
    std::size_t refused = 0;
    for (std::uint64_t n = 10; n < 16; ++n) {
        refused += only<slot_refuse>(d.handle(call(n), warm)).size();
    }
    CHECK(refused == 4);
    auto begun = call(30);
    begun.attained_service = 1000;
    CHECK(only<slot_refuse>(d.handle(begun, warm)).empty());
}

TEST_CASE("slots of a silent holder are freed after 10 s and not before")
{
    auto d = dispatcher_with(1, 10);
    acquire(d, call(1));
    acquire(d, call(2, service_class::normal, "entry-2"));
    d.handle(slot_progress{"entry-2", {}}, warm + seconds(5));
    d.tick(warm + seconds(10));
    CHECK(d.counters().slots == 2);
    d.tick(warm + seconds(11));
    CHECK(d.counters().slots == 1);
    d.tick(warm + seconds(16));
    CHECK(d.counters().slots == 0);
    CHECK(d.targets()[0].in_flight == 0);
}

TEST_CASE("a cancelled acquire frees its slot and is confirmed each time it is sent")
{
    auto d = dispatcher_with(1, 10);
    acquire(d, call(1));
    CHECK(only<slot_released>(d.handle(slot_cancel{1, "entry-1"}, warm)).at(0).request == 1);
    CHECK(only<slot_released>(d.handle(slot_cancel{1, "entry-1"}, warm)).size() == 1);
    CHECK(d.counters().slots == 0);
    CHECK(only<slot_released>(d.handle(release_of(77), warm)).at(0).slot == 77);
}

TEST_CASE("a dispatcher that starts without state grants half of each limit, and counts the slots that holders report")
{
    auto d = dispatcher_with(1, 10);
    std::size_t granted = 0;
    for (std::uint64_t n = 1; n <= 10; ++n) {
        granted += acquire(d, call(n, service_class::safety), start + seconds(1)).size();
    }
    CHECK(granted == 5);
    slot_report report{"entry-2", {}, true};
    for (std::uint64_t n = 1; n <= 4; ++n) {
        report.slots.push_back({1000 + n, n, "engine-0", service_class::normal, n, 100});
    }
    d.handle(report, start + seconds(1));
    CHECK(d.counters().adopted == 4);
    const auto after = only<slot_grant>(d.tick(start + seconds(3)));
    CHECK(after.size() == 1);
    CHECK(d.targets()[0].in_flight == 10);
}

TEST_CASE("an unknown slot in a progress report causes a query, and a complete report frees the slots it lacks")
{
    auto d = dispatcher_with(1, 10);
    acquire(d, call(1));
    CHECK(only<slot_query>(d.handle(slot_progress{"entry-1", {{999, 5}}}, warm)).size() == 1);
    d.handle(slot_report{"entry-1", {}, true}, warm + seconds(1));
    CHECK(d.counters().slots == 1); // the grant may still be in transit
    d.handle(slot_report{"entry-1", {}, true}, warm + seconds(3));
    CHECK(d.counters().slots == 0);
}

TEST_CASE("a waiting urgent call preempts one bulk call")
{
    dispatch_settings settings;
    settings.class_share = {1, 1, 1, 1};
    auto d = dispatcher_with(1, 2, settings);
    const auto a = acquire(d, call(1, service_class::bulk));
    const auto b = acquire(d, call(2, service_class::bulk));
    acquire(d, call(3, service_class::interactive));
    const auto preempted = only<slot_preempt>(d.tick(warm + milliseconds(50)));
    REQUIRE(preempted.size() == 1);
    CHECK(only<slot_preempt>(d.tick(warm + milliseconds(100))).empty());
    auto release = release_of(preempted[0].slot);
    release.preempted = true;
    CHECK(only<slot_grant>(d.handle(release, warm + milliseconds(120))).at(0).request == 3);
}

TEST_CASE("a temporarily slow target gets no calls while others have free slots, and is tried again later")
{
    auto d = dispatcher_with(4, 10);
    timestamp now = warm;
    std::vector<slot_grant> slots;
    for (std::uint64_t n = 1; n <= 4; ++n) {
        slots.push_back(acquire(d, call(n)).at(0));
    }
    std::uint32_t tokens = 0;
    std::uint32_t slow_tokens = 0;
    const auto report = [&](std::uint32_t slow_gain) {
        now += seconds(1);
        tokens += 30;
        slow_tokens += slow_gain;
        slot_progress m{"entry-1", {}};
        for (const auto& slot : slots) {
            m.slots.push_back({slot.slot, slot.target == "engine-0" ? slow_tokens : tokens});
        }
        d.handle(m, now);
        d.tick(now);
    };
    for (int n = 0; n < 10; ++n) {
        report(30);
    }
    for (int n = 0; n < 3; ++n) {
        report(5);
    }
    for (std::uint64_t n = 10; n < 16; ++n) {
        CHECK(acquire(d, call(n), now).at(0).target != "engine-0");
    }
    for (const auto& slot : slots) {
        d.handle(release_of(slot.slot, 0), now);
    }
    now += seconds(60);
    d.handle(slot_progress{"entry-1", {}}, now);
    bool tried = false;
    for (std::uint64_t n = 30; n < 40; ++n) {
        tried = tried || acquire(d, call(n), now).at(0).target == "engine-0";
    }
    CHECK(tried);
}
