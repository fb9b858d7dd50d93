#include "ledger/budget_ledger.h"
#include "ledger/budget_messages.h"
#include "peer/datagram_codec.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <ranges>
#include <vector>

using namespace lagoonferry;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t budget = 1'000;
constexpr std::uint64_t turn = 100;

budget_request request_of(std::string id, std::uint64_t tokens = turn, std::string session = "p")
{
    return {std::move(id), "p", std::move(session), budget, tokens, false};
}

budget_settlement settlement_of(std::string id, std::uint64_t tokens, std::string target = "t",
                                std::string session = "p")
{
    return {std::move(id), "p", std::move(session), tokens, {std::move(target), 500}};
}

/// Ends a turn in the series in which it is open.
void settle(budget_ledger& ledger, budget_settlement message, timestamp now)
{
    message.series = ledger.find("p")->open_series(message.request);
    ledger.settle(message, now);
}

/// The high-water mark of one program in the store.
struct high_water_mark_store {
    std::uint64_t high_water_mark = 0;
    std::uint64_t revision = 0;
    std::uint64_t calls = 0;
};

/// Decides on a turn with a reachable store, as a gateway does. Returns whether it was granted.
bool decide(budget_ledger& ledger, const budget_request& request, high_water_mark_store& store, bool known_unspent,
            timestamp now)
{
    for (int n = 0; n < 6; ++n) {
        switch (ledger.reserve(request, now)) {
        case ledger_decision::granted:
            return true;
        case ledger_decision::exhausted:
            return false;
        case ledger_decision::needs_record:
            ledger.start_record(request, known_unspent, now);
            break;
        case ledger_decision::needs_high_water_mark: {
            const high_water_mark_write write = ledger.required_write(request);
            ++store.calls;
            if (write.revision == store.revision) {
                store.high_water_mark = write.high_water_mark;
                ++store.revision;
                ledger.set_high_water_mark("p", store.high_water_mark, store.revision, true);
            }
            else {
                ledger.set_high_water_mark("p", store.high_water_mark, store.revision, false);
            }
            break;
        }
        }
    }
    return false;
}

} // namespace

TEST_CASE("a program with low usage needs no call to the store")
{
    budget_ledger ledger;
    high_water_mark_store store;
    CHECK(decide(ledger, request_of("1"), store, true, seconds(1)));
    settle(ledger, settlement_of("1", 60), seconds(2));
    CHECK(decide(ledger, request_of("2"), store, true, seconds(3)));
    settle(ledger, settlement_of("2", 60), seconds(4));
    CHECK(store.calls == 0);
    CHECK(ledger.find("p")->used() == 120);
}

TEST_CASE("a single owner grants exactly the budget")
{
    budget_ledger ledger;
    high_water_mark_store store;
    std::uint64_t generated_tokens = 0;
    int granted = 0;
    for (int n = 0; n < 30; ++n) {
        if (decide(ledger, request_of(std::to_string(n)), store, true, seconds(n))) {
            settle(ledger, settlement_of(std::to_string(n), turn), seconds(n));
            generated_tokens += turn;
            ++granted;
        }
    }
    CHECK(generated_tokens == budget);
    CHECK(granted == 10);
    CHECK(store.calls < 8);
}

// Guards against store calls of programs whose reservation per turn is a third of the budget but which use little of
// it. Each reservation counts in full until its turn ends: 900 of 2,141 programs called the store although they used
// less than a third of their budget.
TEST_CASE("a program that reserves a third of its budget per turn but uses little needs no call to the store")
{
    budget_ledger ledger;
    high_water_mark_store store;
    constexpr std::uint64_t max_tokens = 350;
    for (int n = 0; n < 4; ++n) {
        CHECK(decide(ledger, request_of(std::to_string(n), max_tokens), store, true, seconds(n)));
        settle(ledger, settlement_of(std::to_string(n), 80), seconds(n));
    }
    CHECK(store.calls == 0);
}

// A partitioned owner and the gateway with the copy both keep granting turns of a program that uses all granted tokens.
TEST_CASE("both sides of a network partition together exceed a budget by at most one turn")
{
    high_water_mark_store store;
    budget_ledger first;
    budget_ledger second;
    REQUIRE(decide(first, request_of("0"), store, true, seconds(0)));
    settle(first, settlement_of("0", turn), seconds(0));
    second.join("p", *first.find("p"), seconds(0));
    std::uint64_t generated_tokens = turn;
    for (int n = 1; n < 30; ++n) {
        for (budget_ledger* owner : {&first, &second}) {
            const budget_request request = request_of(std::to_string(n) + (owner == &first ? "a" : "b"));
            owner->restrict_unpersisted(request);
            if (decide(*owner, request, store, true, seconds(n))) {
                settle(*owner, settlement_of(request.request, turn), seconds(n));
                generated_tokens += turn;
            }
        }
    }
    CHECK(generated_tokens <= budget + turn);
    CHECK(generated_tokens >= budget);
}

TEST_CASE("parallel turns count with their full reservation until they end")
{
    budget_ledger ledger;
    high_water_mark_store store;
    for (int n = 0; n < 10; ++n) {
        CHECK(decide(ledger, request_of(std::to_string(n)), store, true, seconds(1)));
    }
    CHECK_FALSE(decide(ledger, request_of("10"), store, true, seconds(1)));
    settle(ledger, settlement_of("3", 0, ""), seconds(2));
    CHECK(decide(ledger, request_of("10"), store, true, seconds(2)));
}

TEST_CASE("a repeated request gets the same decision and reserves nothing more")
{
    budget_ledger ledger;
    high_water_mark_store store;
    CHECK(decide(ledger, request_of("1"), store, true, seconds(1)));
    CHECK(decide(ledger, request_of("1"), store, true, seconds(1)));
    CHECK(ledger.find("p")->committed() == turn);
}

TEST_CASE("an owner without the lost record counts all possible earlier usage and reads the high-water mark")
{
    high_water_mark_store store;
    budget_ledger first;
    for (int n = 0; n < 5; ++n) {
        CHECK(decide(first, request_of(std::to_string(n)), store, true, seconds(n)));
        settle(first, settlement_of(std::to_string(n), turn), seconds(n));
    }
    REQUIRE(store.high_water_mark >= 500);
    budget_ledger second;
    std::uint64_t generated_tokens = 500;
    for (int n = 0; n < 20; ++n) {
        const std::string id = "b" + std::to_string(n);
        if (decide(second, request_of(id), store, false, seconds(10 + n))) {
            settle(second, settlement_of(id, turn), seconds(10 + n));
            generated_tokens += turn;
        }
    }
    CHECK(generated_tokens <= budget);
    CHECK(generated_tokens > 500);
}

TEST_CASE("a gateway with a copy continues from the owner's state and counts running turns with their reservation")
{
    high_water_mark_store store;
    budget_ledger owner;
    budget_ledger other;
    CHECK(decide(owner, request_of("1"), store, true, seconds(1)));
    settle(owner, settlement_of("1", 80), seconds(2));
    CHECK(decide(owner, request_of("2"), store, true, seconds(2)));
    other.join("p", *owner.find("p"), seconds(2));
    CHECK(other.find("p")->committed() == 180);
    settle(other, settlement_of("2", 30), seconds(3));
    CHECK(other.find("p")->committed() == 110);
    CHECK(decide(other, request_of("3"), store, false, seconds(3)));
    CHECK(store.calls == 0);
}

TEST_CASE("an older copy that arrives late is ignored")
{
    high_water_mark_store store;
    budget_ledger owner;
    budget_ledger other;
    CHECK(decide(owner, request_of("1"), store, true, seconds(1)));
    const budget_record early = *owner.find("p");
    settle(owner, settlement_of("1", 80), seconds(2));
    other.join("p", *owner.find("p"), seconds(2));
    other.join("p", early, seconds(2));
    CHECK(other.find("p")->committed() == 80);
}

TEST_CASE("usage granted on behalf of an unresponsive owner is added to its record at the handover")
{
    high_water_mark_store store;
    budget_ledger owner;
    budget_ledger backup;
    CHECK(decide(owner, request_of("1"), store, true, seconds(1)));
    settle(owner, settlement_of("1", 80), seconds(1));
    backup.join("p", *owner.find("p"), seconds(1));
    CHECK(decide(backup, request_of("2"), store, true, seconds(2)));
    settle(backup, settlement_of("2", 70), seconds(2));
    CHECK(decide(owner, request_of("3"), store, true, seconds(2)));
    settle(owner, settlement_of("3", 50), seconds(2));
    owner.join("p", *backup.find("p"), seconds(3));
    CHECK(owner.find("p")->used() == 80 + 70 + 50);
}

// Guards against review case 6: the backup granted turns in place of the owner, the owner ended the first one and then
// ignored all later copies, because its total was higher than theirs.
TEST_CASE("turns that the backup grants after the owner has ended an earlier one are all counted")
{
    high_water_mark_store store;
    budget_ledger owner;
    budget_ledger backup;
    REQUIRE(decide(backup, request_of("1"), store, true, seconds(1)));
    owner.join("p", *backup.find("p"), seconds(1));
    settle(owner, settlement_of("1", turn), seconds(2));
    for (const char* id : {"2", "3", "4"}) {
        REQUIRE(decide(backup, request_of(id), store, true, seconds(2)));
        owner.join("p", *backup.find("p"), seconds(2));
        settle(owner, settlement_of(id, turn), seconds(3));
    }
    CHECK(owner.find("p")->used() == 4 * turn);
    backup.join("p", *owner.find("p"), seconds(4));
    CHECK(backup.find("p")->committed() == 4 * turn);
}

// Guards against two histories of one budget that replace each other, as the larger total was taken for the newer one.
TEST_CASE("records that several gateways changed are joined to the same usage in any order")
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::minstd_rand random(seed);
        const auto draw = [&random](int most) { return std::uniform_int_distribution<int>(0, most)(random); };
        std::vector<budget_ledger> gateways(3);
        std::map<std::string, std::uint64_t> used; // by request; a turn that runs counts in full
        high_water_mark_store store;
        for (budget_ledger& item : gateways) {
            item.start_record(request_of("none"), true, seconds(0));
        }
        for (int n = 0; n < 9; ++n) {
            const std::string id = std::to_string(n);
            budget_ledger& granting = gateways[static_cast<std::size_t>(draw(2))];
            if (granting.reserve(request_of(id), seconds(1)) != ledger_decision::granted) {
                continue;
            }
            used[id] = turn;
            budget_ledger& other = gateways[static_cast<std::size_t>(draw(2))];
            other.join("p", *granting.find("p"), seconds(1));
            if (draw(2) > 0) {
                used[id] = static_cast<std::uint64_t>(draw(turn));
                settle(other, settlement_of(id, used[id]), seconds(1));
                settle(granting, settlement_of(id, used[id]), seconds(1));
            }
        }
        std::uint64_t total = 0;
        for (const std::uint64_t tokens : used | std::views::values) {
            total += tokens;
        }
        // Every gateway gets the records of all, some of them twice, in an order of its own.
        std::vector<budget_record> records;
        for (const budget_ledger& item : gateways) {
            records.push_back(*item.find("p"));
        }
        for (budget_ledger& item : gateways) {
            records.push_back(records[static_cast<std::size_t>(draw(2))]);
            std::ranges::shuffle(records, random);
            for (const budget_record& record : records) {
                item.join("p", record, seconds(2));
            }
            CAPTURE(seed);
            CHECK(item.find("p")->committed() == total);
        }
    }
}

// A long turn keeps the later ones of its series from being folded. A copy that does not fit into a datagram is lost.
TEST_CASE("the copy of a record with a long turn and many ended ones fits into a datagram")
{
    constexpr std::size_t max_datagram_bytes = 2'048;
    budget_ledger ledger;
    budget_request request{"0123456789abcdef", "p", "p", 1'000'000, 500, false};
    ledger.start_record(request, true, seconds(1));
    REQUIRE(ledger.reserve(request, seconds(1)) == ledger_decision::granted);
    for (int n = 0; n < 120; ++n) {
        request.request = "0123456789abc" + std::to_string(100 + n);
        REQUIRE(ledger.reserve(request, seconds(2)) == ledger_decision::granted);
        settle(ledger, settlement_of(request.request, 300, "i-0123456789", "session-" + std::to_string(n)), seconds(3));
    }
    const budget_record_copy copy{"p", *ledger.find("p"), true, copy_purpose::backup};
    CHECK(encode_cbor(to_json(copy)).size() < max_datagram_bytes);
}

TEST_CASE("turns that become known explain usage that was presumed from a mark")
{
    high_water_mark_store store;
    budget_ledger first;
    budget_ledger second;
    for (int n = 0; n < 5; ++n) {
        REQUIRE(decide(first, request_of(std::to_string(n)), store, true, seconds(n)));
        settle(first, settlement_of(std::to_string(n), turn), seconds(n));
    }
    second.start_record(request_of("x"), false, seconds(9));
    second.set_high_water_mark("p", store.high_water_mark, store.revision, false);
    REQUIRE(second.find("p")->committed() == store.high_water_mark);
    second.join("p", *first.find("p"), seconds(9));
    CHECK(second.find("p")->committed() == store.high_water_mark);
    REQUIRE(store.high_water_mark > 5 * turn);
    REQUIRE(decide(first, request_of("6"), store, true, seconds(9)));
    second.join("p", *first.find("p"), seconds(9));
    CHECK(second.find("p")->committed() == store.high_water_mark);
}

TEST_CASE("a turn whose end is never reported counts in full")
{
    budget_ledger ledger;
    high_water_mark_store store;
    CHECK(decide(ledger, request_of("1"), store, true, seconds(1)));
    ledger.expire(seconds(10));
    CHECK(ledger.find("p")->used() == 0);
    ledger.expire(seconds(14));
    CHECK(ledger.find("p")->used() == turn);
    ledger.expire(seconds(100));
    CHECK(ledger.find("p") == nullptr);
}

TEST_CASE("a new session starts at the target of the program's first session")
{
    budget_ledger ledger;
    high_water_mark_store store;
    CHECK(decide(ledger, request_of("1"), store, true, seconds(1)));
    settle(ledger, settlement_of("1", 10, "main-target"), seconds(1));
    for (int n = 0; n < 20; ++n) {
        const std::string id = "s" + std::to_string(n);
        CHECK(decide(ledger, request_of(id, 10, id), store, true, seconds(2)));
        settle(ledger, settlement_of(id, 1, "other", id), seconds(2));
    }
    CHECK(ledger.location_of("p", "new").target == "main-target");
    CHECK(ledger.location_of("p", "s19").target == "other");
    CHECK(ledger.location_of("q", "q").target.empty());
}

// The owner of a looping program fails at random: at most once with the loss of its record, otherwise a new owner takes
// over from the copy.
TEST_CASE("a budget is exceeded by at most one turn if its record is lost once and the store keeps the high-water mark")
{
    for (unsigned seed = 1; seed <= 400; ++seed) {
        std::minstd_rand random(seed);
        high_water_mark_store store;
        auto owner = std::make_unique<budget_ledger>();
        bool lost = false;
        std::uint64_t generated_tokens = 0;
        for (int n = 0; n < 60; ++n) {
            const std::string id = std::to_string(n);
            if (decide(*owner, request_of(id), store, !lost, seconds(n))) {
                const auto tokens = std::uniform_int_distribution<std::uint64_t>(0, turn)(random);
                generated_tokens += tokens;
                settle(*owner, settlement_of(id, tokens), seconds(n));
            }
            const auto event = std::uniform_int_distribution<int>(0, 19)(random);
            if (event == 0 && !lost) {
                owner = std::make_unique<budget_ledger>();
                lost = true;
            }
            else if (event == 1) {
                auto next = std::make_unique<budget_ledger>();
                next->join("p", *owner->find("p"), seconds(n));
                owner = std::move(next);
            }
        }
        CAPTURE(seed);
        CHECK(generated_tokens <= budget + turn);
    }
}

// Review case 12: whoever has only an old copy counts all that was allowed without a further write to the store.
TEST_CASE("turns that an old copy lacks count up to its limit or its mark")
{
    budget_ledger owner;
    const budget_request first = request_of("r1", 100);
    owner.start_record(first, true, seconds(1));
    REQUIRE(owner.reserve(first, seconds(1)) == ledger_decision::granted);
    settle(owner, settlement_of("r1", 100), seconds(1));
    budget_ledger taker;
    taker.join("p", *owner.find("p"), seconds(1));
    taker.presume_unknown_turns("p");
    CHECK(taker.find("p")->committed() == owner.find("p")->unpersisted_limit);
    taker.presume_unknown_turns("p");
    CHECK(taker.find("p")->committed() == owner.find("p")->unpersisted_limit);
    CHECK(taker.reserve(request_of("r2", 100), seconds(2)) == ledger_decision::needs_high_water_mark);

    owner.set_high_water_mark("p", 700, 5, true);
    budget_ledger later_taker;
    later_taker.join("p", *owner.find("p"), seconds(2));
    later_taker.presume_unknown_turns("p");
    CHECK(later_taker.find("p")->committed() == 700);
    // Turns that become known are among the presumed ones.
    REQUIRE(owner.reserve(request_of("r3", 100), seconds(3)) == ledger_decision::granted);
    later_taker.join("p", *owner.find("p"), seconds(3));
    CHECK(later_taker.find("p")->committed() == 700);
}

// Soak seed 6005: marks name the record that they were written for. One that was written for a record since lost, or
// deleted after its retention, does not count as written for the present one.
TEST_CASE("a record of a program has another series than all earlier ones")
{
    const budget_request request = request_of("r1", 100);
    const auto series_of = [&request](budget_ledger& ledger) {
        ledger.start_record(request, false, seconds(1));
        REQUIRE(ledger.reserve(request, seconds(1)) == ledger_decision::needs_high_water_mark);
        return ledger.required_write(request).series;
    };
    budget_ledger ledger;
    const std::uint64_t first = series_of(ledger);
    CHECK(ledger.required_write(request).series == first);
    ledger.expire(seconds(100));
    REQUIRE(ledger.find("p") == nullptr);
    CHECK(series_of(ledger) != first);
    budget_ledger restarted;
    CHECK(series_of(restarted) != first);
    budget_ledger backup;
    backup.join("p", *restarted.find("p"), seconds(2));
    REQUIRE(backup.reserve(request, seconds(2)) == ledger_decision::needs_high_water_mark);
    CHECK(backup.required_write(request).series != restarted.required_write(request).series);
}

TEST_CASE("messages are decoded from their encoding, and malformed ones are rejected")
{
    budget_record record;
    record.budget = 900;
    record.series[3] = {2, 7, {{3, {"r", 30, false, seconds(4)}}, {4, {"", 5, true, seconds(4)}}}};
    record.presumed = 11;
    record.sessions["s"] = {"t", 12};
    const auto copy = budget_record_copy_from(to_json(budget_record_copy{"p", record, true, copy_purpose::reply}));
    REQUIRE(copy);
    REQUIRE(copy->record);
    CHECK(copy->record->committed() == 53);
    CHECK(copy->record->used() == 23);
    CHECK(copy->record->open_series("r") == 3);
    CHECK(copy->record->sessions.at("s") == session_location{"t", 12});
    CHECK(copy->sender_authoritative);
    CHECK(copy->purpose == copy_purpose::reply);
    const auto reply = budget_reply_from(to_json(budget_reply{"r", budget_verdict::exhausted, {"t", 3}}));
    REQUIRE(reply);
    CHECK(reply->verdict == budget_verdict::exhausted);
    CHECK_FALSE(budget_request_from(nlohmann::json{{"q", 1}}));
    CHECK_FALSE(budget_record_copy_from(nlohmann::json::array()));
}
