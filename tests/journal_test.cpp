#include "fake_kv.h"
#include "journal/journal.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace lagoonferry;
using namespace lagoonferry::test;

namespace {

constexpr timestamp ms{std::chrono::milliseconds{1}};

/// A journal whose key-value calls are applied to a `fake_kv`.
struct journal_harness {
    journal_settings settings;
    journal log;
    timestamp now{std::chrono::seconds{1}};

    explicit journal_harness(const std::string& id) : log(7, {id, id}, 1, id, settings) {}

    /// Applies all calls, including those that follow from a reply.
    void run_calls(fake_kv& kv)
    {
        for (auto calls = log.take_calls(); !calls.empty(); calls = log.take_calls()) {
            for (const kv_call& it : calls) {
                log.handle(kv.apply(it), now);
            }
        }
    }

    void poll(timestamp elapsed)
    {
        now += elapsed;
        log.poll(now);
    }

    journal_harness& take_over(fake_kv& kv)
    {
        log.start_takeover();
        log.poll(now);
        run_calls(kv);
        log.finish_takeover({}, {}, {}, now);
        log.poll(now);
        run_calls(kv);
        log.set_replicated_sequence(1000000);
        return *this;
    }

    std::uint64_t append(const std::string& program, durability wanted = durability::lazy)
    {
        return log.append(high_water_mark_entry{program, {1, 2, 3}}, nullptr, wanted, now);
    }

    kv_reply lost_reply(const kv_call& call) const { return {call.request, kv_status::unknown, {}, 0, {}}; }
};

head_record stored_head(const fake_kv& kv)
{
    return *decode_head(kv.entries().at("partition/7").value);
}

text_ref make_text(const std::string& program, std::size_t bytes)
{
    turn_text turn{program, 1, {}, {std::string(bytes, 'x')}, "y", {}};
    turn.digest = chain_digest(turn);
    return std::make_shared<const stored_text>(turn);
}

} // namespace

TEST_CASE("log entries keep their content in JSON, and malformed input is rejected")
{
    const std::vector<entry> entries{open_entry{"7-a", "acc", "svc", "7-b", {1, 2, 3}, 5},
                                     turn_entry{"7-a", 2, "d", 99},
                                     intent_entry{"c", "7-a", 2, "pay", "k", "d"},
                                     outcome_entry{"c", "7-a", "pay", "k", "d", true, "r", "e"},
                                     abandon_entry{"c", "7-a", "k"},
                                     high_water_mark_entry{"7-a", {4, 5, 6}},
                                     end_entry{"7-a", "done", {7, 8, 9}}};
    for (const entry& it : entries) {
        CHECK(entry_from_json(entry_to_json(it)) == it);
    }
    CHECK_THROWS_AS(entry_from_json(nlohmann::json{{"t", "other"}}), nlohmann::json::exception);
    CHECK_FALSE(decode_head("{}"));
    CHECK_FALSE(decode_head("not json"));
}

TEST_CASE("entries appended during a head write are batched into the next write, which bounds the write rate")
{
    fake_kv kv;
    journal_harness it("a");
    it.take_over(kv);
    const std::uint64_t before = kv.writes();
    it.append("7-a", durability::confirmed);
    it.poll(ms);
    const auto first = it.log.take_calls();
    REQUIRE(first.size() == 1);
    for (int n = 0; n < 10; ++n) {
        it.append("7-a", durability::confirmed);
        it.poll(ms);
    }
    CHECK(it.log.take_calls().empty());
    it.log.handle(kv.apply(first.front()), it.now);
    it.run_calls(kv);
    CHECK(kv.writes() == before + 2);
    CHECK(it.log.durable() == 11);
}

TEST_CASE("lazy entries are written after the delay or together with a confirmed entry")
{
    fake_kv kv;
    journal_harness it("a");
    it.take_over(kv);
    it.append("7-a");
    it.poll(999 * ms);
    CHECK(it.log.take_calls().empty());
    it.poll(ms);
    it.run_calls(kv);
    CHECK(it.log.durable() == 1);
    it.append("7-a");
    it.append("7-a", durability::confirmed);
    it.poll(ms);
    it.run_calls(kv);
    CHECK(it.log.durable() == 3);
}

TEST_CASE("a write that took effect but whose reply was lost is found by reading back and is not repeated")
{
    fake_kv kv;
    journal_harness it("a");
    it.take_over(kv);
    it.append("7-a", durability::confirmed);
    it.poll(ms);
    const auto calls = it.log.take_calls();
    kv.apply(calls.front());
    it.log.handle(it.lost_reply(calls.front()), it.now);
    CHECK(it.log.durable() == 0);
    it.poll(100 * ms);
    it.run_calls(kv);
    CHECK(it.log.durable() == 1);
    CHECK(stored_head(kv).tail.size() == 1);
}

TEST_CASE("a write that takes effect after the read-back is recognised as the owner's own write")
{
    fake_kv kv;
    journal_harness it("a");
    it.take_over(kv);
    it.append("7-a", durability::confirmed);
    it.poll(ms);
    const kv_call late = it.log.take_calls().front();
    it.log.handle(it.lost_reply(late), it.now);
    it.poll(100 * ms);
    const kv_call read_back = it.log.take_calls().front();
    it.log.handle(kv.apply(read_back), it.now);
    it.append("7-b", durability::confirmed);
    it.poll(100 * ms);
    const kv_call repeated = it.log.take_calls().front();
    CHECK(kv.apply(late).status == kv_status::ok);
    it.log.handle(kv.apply(repeated), it.now);
    it.run_calls(kv);
    CHECK(it.log.phase() == journal_phase::ready);
    CHECK(it.log.durable() == 2);
    CHECK(stored_head(kv).tail.size() == 2);
}

TEST_CASE("after a takeover the previous owner's next write fails, and its head record names the new owner")
{
    fake_kv kv;
    journal_harness previous_journal("a");
    previous_journal.take_over(kv);
    journal_harness successor("b");
    successor.take_over(kv);
    previous_journal.append("7-a", durability::confirmed);
    previous_journal.poll(ms);
    previous_journal.run_calls(kv);
    CHECK(previous_journal.log.phase() == journal_phase::lost);
    CHECK(previous_journal.log.head().owner.id == "b");
    CHECK(stored_head(kv).tail.empty());
}

TEST_CASE("of two takeovers for the same epoch one wins, and the other does not seal again")
{
    fake_kv kv;
    journal_harness a("a");
    journal_harness b("b");
    for (journal_harness* it : {&a, &b}) {
        it->log.start_takeover();
        it->log.poll(it->now);
        it->log.handle(kv.apply(it->log.take_calls().front()), it->now);
    }
    const kv_call seal_a = a.log.take_calls().front();
    const kv_call seal_b = b.log.take_calls().front();
    a.log.handle(kv.apply(seal_a), a.now);
    b.log.handle(kv.apply(seal_b), b.now);
    b.run_calls(kv);
    CHECK(a.log.phase() == journal_phase::recovering);
    CHECK(b.log.phase() == journal_phase::lost);
    CHECK(stored_head(kv).epoch == 1);
}

TEST_CASE("a takeover continues if an append of the current owner replaces the head first")
{
    fake_kv kv;
    journal_harness owner("a");
    owner.take_over(kv);
    journal_harness successor("b");
    successor.log.start_takeover();
    successor.log.poll(successor.now);
    successor.log.handle(kv.apply(successor.log.take_calls().front()), successor.now);
    const kv_call seal = successor.log.take_calls().front();
    owner.append("7-a", durability::confirmed);
    owner.poll(ms);
    owner.run_calls(kv);
    successor.log.handle(kv.apply(seal), successor.now);
    successor.run_calls(kv);
    CHECK(successor.log.phase() == journal_phase::recovering);
    CHECK(successor.log.durable() == 1);
}

TEST_CASE("a long tail is replaced by a snapshot, the old snapshot is erased, and a successor restores the same state")
{
    fake_kv kv;
    journal_harness it("a");
    it.take_over(kv);
    it.log.append(open_entry{"7-a", "acc", "svc", {}, {9, 9, 9}, 4}, nullptr, durability::lazy, it.now);
    std::size_t longest = 0;
    for (int n = 0; n < 300; ++n) {
        it.append("7-a", durability::confirmed);
        it.poll(ms);
        it.run_calls(kv);
        longest = std::max(longest, stored_head(kv).tail.size());
    }
    CHECK(longest < 100);
    const auto is_snapshot = [](const auto& pair) { return pair.first.starts_with("snapshot/"); };
    CHECK(std::ranges::count_if(kv.entries(), is_snapshot) == 1);
    journal_harness successor("b");
    successor.take_over(kv);
    CHECK(successor.log.durable() == 301);
    CHECK(successor.log.image().find("7-a")->high_water_mark == budget{1, 2, 3});
    CHECK(successor.log.image().encode() == it.log.image().encode());
}

TEST_CASE("an ended program that is removed is not in later snapshots, which bounds their size")
{
    fake_kv kv;
    journal_harness it("a");
    it.take_over(kv);
    it.log.append(open_entry{"7-a", "acc", "svc", {}, {9, 9, 9}, 4}, nullptr, durability::lazy, it.now);
    it.log.append(end_entry{"7-a", "done", {}}, nullptr, durability::confirmed, it.now);
    it.poll(ms);
    it.run_calls(kv);
    const std::size_t bytes = it.log.image().bytes();
    it.log.remove_program("7-a");
    CHECK(it.log.image().programs().empty());
    CHECK(it.log.image().bytes() < bytes);
}

TEST_CASE("an entry is not written to the head before a backup or a segment holds its text")
{
    fake_kv kv;
    journal_harness it("a");
    it.log.start_takeover();
    it.log.poll(it.now);
    it.run_calls(kv);
    it.log.finish_takeover({}, {}, {}, it.now);
    it.log.poll(it.now);
    it.run_calls(kv);
    it.log.append(turn_entry{"7-a", 1, "d", 1}, make_text("7-a", 10), durability::lazy, it.now);
    it.append("7-a", durability::confirmed);
    it.poll(ms);
    const auto calls = it.log.take_calls();
    REQUIRE(calls.size() == 1);
    CHECK(calls.front().key == "history/7/1-1");
    it.log.handle(kv.apply(calls.front()), it.now);
    it.run_calls(kv);
    CHECK(it.log.flushed() == 2);
    CHECK(stored_head(kv).segments == std::vector<std::string>{"history/7/1-1"});
}

TEST_CASE("segments are written at intervals, merged and erased, which bounds the writes and the keys")
{
    fake_kv kv;
    journal_harness it("a");
    it.take_over(kv);
    const std::uint64_t before = kv.writes();
    for (int n = 0; n < 600; ++n) {
        const std::string program = "7-" + std::to_string(n / 6);
        if (n % 6 == 0) {
            it.log.append(open_entry{program, "acc", "svc", {}, {9, 9, 9}, 4}, nullptr, durability::lazy, it.now);
        }
        it.log.append(turn_entry{program, 1, "d", 1}, make_text(program, 2000), durability::lazy, it.now);
        if (n % 6 == 5 && n > 60) {
            it.log.append(end_entry{"7-" + std::to_string(n / 6 - 10), "done", {}}, nullptr, durability::lazy, it.now);
        }
        it.poll(200 * ms);
        it.run_calls(kv);
    }
    // In 120 s: a head each second, a segment and an erased segment each 2 s, a snapshot and an erased one each 5 s.
    CHECK(kv.writes() - before < 120 + 60 + 60 + 50);
    CHECK(stored_head(kv).segments.size() <= it.settings.min_segments_to_merge + 2);
    CHECK(kv.entries().size() <= it.settings.min_segments_to_merge + 5);
    CHECK(kv.largest_value() < 600 * 1024);
}

TEST_CASE("a successor erases keys that an earlier owner wrote but no head record names")
{
    fake_kv kv;
    journal_harness it("a");
    it.take_over(kv);
    kv.apply({1, kv_operation::compare_and_swap, "snapshot/7/1-5", 0, "orphan"});
    kv.apply({1, kv_operation::compare_and_swap, "history/7/1-5", 0, "orphan"});
    kv.apply({1, kv_operation::compare_and_swap, "history/70/1-5", 0, "of another partition"});
    journal_harness successor("b");
    successor.take_over(kv);
    for (int n = 0; n < 10; ++n) {
        successor.poll(ms);
        successor.run_calls(kv);
    }
    CHECK(kv.entries().size() == 2);
    CHECK(kv.entries().contains("history/70/1-5"));
}

TEST_CASE("a handover writes all entries and texts, and makes the successor the owner in a higher epoch")
{
    fake_kv kv;
    journal_harness it("a");
    it.take_over(kv);
    it.append("7-a");
    it.log.start_handover({"b", "b:1"});
    it.log.append(turn_entry{"7-a", 1, "d", 1}, make_text("7-a", 10), durability::lazy, it.now);
    it.log.finish_handover();
    it.poll(ms);
    it.run_calls(kv);
    CHECK(it.log.phase() == journal_phase::handed_over);
    const head_record head = stored_head(kv);
    CHECK(head.epoch == 2);
    CHECK(head.ready_epoch == 2);
    CHECK(head.owner.id == "b");
    CHECK(head.backups.empty());
    CHECK(head.sequence == 2);
    CHECK(head.segments.size() == 1);
}

TEST_CASE("closing entries of a takeover take effect together with its completion, or not at all")
{
    fake_kv kv;
    journal_harness it("a");
    it.log.start_takeover();
    it.log.poll(it.now);
    it.run_calls(kv);
    // The text forces a segment and a head write before the one that completes the takeover.
    std::vector<log_item> recovered{{1, turn_entry{"7-a", 1, "d", 1}, make_text("7-a", 10)}};
    it.log.finish_takeover(recovered, {end_entry{"7-a", "lost", {}}}, {}, it.now);
    it.log.poll(it.now);
    for (auto calls = it.log.take_calls(); !calls.empty(); calls = it.log.take_calls()) {
        for (const kv_call& call : calls) {
            it.log.handle(kv.apply(call), it.now);
            const head_record head = stored_head(kv);
            CHECK((head.sequence == 2) == (head.ready_epoch == 1));
        }
    }
    CHECK(it.log.phase() == journal_phase::ready);
}

TEST_CASE("calls to an unavailable key-value service are retried at most about once per second")
{
    fake_kv kv;
    journal_harness it("a");
    it.take_over(kv);
    it.append("7-a", durability::confirmed);
    int attempts = 0;
    for (int n = 0; n < 1000; ++n) {
        it.poll(10 * ms);
        for (const kv_call& call : it.log.take_calls()) {
            ++attempts;
            it.log.handle({call.request, kv_status::unavailable, {}, 0, {}}, it.now);
        }
    }
    CHECK(attempts <= 14);
    CHECK(it.log.stalled(it.now, 2000 * ms));
    it.poll(1000 * ms);
    it.run_calls(kv);
    CHECK(it.log.durable() == 1);
}
