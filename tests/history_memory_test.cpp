#include "owner_harness.h"

#include "journal/segment_set.h"
#include "program/history_memory.h"

#include <doctest/doctest.h>
#include <malloc.h>

#include <optional>

using namespace lagoonferry;
using namespace lagoonferry::test;

namespace {

constexpr timestamp second{std::chrono::seconds{1}};
const budget large_limits{100'000'000, 1000, 100'000'000};

std::string program_name(std::size_t n)
{
    return "0-" + std::to_string(n);
}

std::string message_of(std::size_t bytes)
{
    return R"({"content":")" + std::string(bytes, 'x') + R"(","role":"user"})";
}

std::size_t heap_bytes()
{
    return ::mallinfo2().uordblks;
}

/// Opens programs, runs turns of the given size in each, and flushes the texts to the key-value service.
void fill(owner_harness& harness, std::size_t programs, std::uint64_t turns, std::size_t bytes)
{
    for (std::size_t n = 0; n < programs; ++n) {
        harness.open(program_name(n), large_limits);
        for (std::uint64_t turn = 1; turn <= turns; ++turn) {
            harness.turn(turn, message_of(bytes), program_name(n));
            // The prompts in the harness must not count in the measured memory.
            harness.engine_calls.clear();
            harness.replicated.clear();
        }
        harness.advance(3 * second);
    }
    harness.replicated.clear();
    harness.replies.clear();
}

/// Returns the heap bytes of an owner and its programs, without the key-value service and the replicas.
std::size_t owner_bytes(std::size_t programs, std::uint64_t turns, std::size_t bytes)
{
    cluster shared;
    std::optional<owner_harness> harness;
    harness.emplace(shared, "a");
    harness->take_over();
    fill(*harness, programs, turns, bytes);
    const std::size_t before = heap_bytes();
    harness.reset();
    return before - heap_bytes();
}

/// A limit of a few turns. Each turn of `turn_text_bytes` counts as a little more than 1,500 bytes.
constexpr std::size_t small_limit = 16 * 1024;
constexpr std::size_t turn_text_bytes = 1000;

owner_settings small_settings(std::shared_ptr<history_memory> memory)
{
    owner_settings settings;
    settings.memory = std::move(memory);
    settings.journal.min_evictable_bytes = 1;
    return settings;
}

/// An owner with programs 0-0 to 0-5 of 3 turns each. Together they exceed the limit, so the texts of the first
/// programs are only in the key-value service.
struct small_owner {
    cluster shared;
    std::shared_ptr<history_memory> memory = std::make_shared<history_memory>(small_limit);
    owner_harness harness;

    explicit small_owner() : harness(shared, "a", small_settings(memory))
    {
        harness.take_over();
        fill(harness, 6, 3, turn_text_bytes);
    }

    std::uint64_t reads() { return harness.owner().counters().segment_reads; }
};

bool succeeded(const owner_harness& harness, request_id request)
{
    return harness.ok(request) != nullptr;
}

bool refused_temporarily(const owner_harness& harness, request_id request, result_code code)
{
    const refusal reason = harness.refused(request);
    return reason.code == code && reason.run == execution_state::not_run && reason.retry_after_ms > 0;
}

} // namespace

TEST_CASE("memory of an owner by number of programs and by bytes of history")
{
    std::size_t last = 0;
    for (const std::size_t programs : {50, 100, 200, 400}) {
        const std::size_t bytes = owner_bytes(programs, 2, 100);
        MESSAGE(programs, " programs of 2 turns with 100 bytes: ", bytes / 1024, " KiB");
        CHECK(bytes > last);
        last = bytes;
    }
    for (const std::size_t kilobytes : {4, 16, 64}) {
        const std::size_t bytes = owner_bytes(40, 8, kilobytes * 1024);
        MESSAGE("40 programs of 8 turns with ", kilobytes, " KiB, ", kilobytes * 320, " KiB of history: ", bytes / 1024,
                " KiB");
    }
}

TEST_CASE("a program with evicted texts continues with its complete history, so that no engine gets a partial prompt")
{
    small_owner it;
    CHECK(it.memory->used() <= small_limit);
    CHECK(it.harness.owner().counters().evicted_texts > 0);
    CHECK(it.reads() == 0);
    const request_id request = it.harness.begin(4, message_of(10), "0-0");
    CHECK(it.reads() > 0);
    REQUIRE(it.harness.engine_calls.size() == 1);
    CHECK(it.harness.engine_calls.back().messages.size() == 7);
    CHECK(it.harness.engine_calls.back().messages.front() == message_of(turn_text_bytes));
    it.harness.complete(it.harness.engine_calls.back());
    CHECK(succeeded(it.harness, request));
}

TEST_CASE("a repeated turn and a full list of messages are compared with the texts that are read back")
{
    small_owner it;
    const request_id again = it.harness.begin(3, message_of(turn_text_bytes), "0-0");
    CHECK(succeeded(it.harness, again));
    CHECK(it.harness.engine_calls.empty());
    const request_id other = it.harness.begin(3, message_of(5), "0-1");
    CHECK(it.harness.refused(other).code == result_code::turn_conflict);
    CHECK(it.harness.refused(it.harness.begin(5, message_of(5), "0-2")).code == result_code::turn_out_of_order);
    const request_id full = it.harness.send(
        begin_turn{0, "0-2", "acc", 0, true, {message_of(5), message_of(6)}, 50, {1, 0, 0}, it.shared.now + second});
    CHECK(it.harness.refused(full).code == result_code::turn_conflict);
    CHECK(it.harness.engine_calls.empty());
}

TEST_CASE("turns that wait for the same segment share one read, so that many of them do not multiply the reads")
{
    cluster shared;
    owner_harness harness(shared, "a", small_settings(std::make_shared<history_memory>(small_limit)));
    harness.take_over();
    for (std::size_t n = 0; n < 4; ++n) {
        harness.open(program_name(n), large_limits);
        harness.turn(1, message_of(turn_text_bytes), program_name(n));
    }
    harness.advance(3 * second);
    fill(harness, 0, 0, 0);
    for (std::size_t n = 10; n < 30; ++n) {
        harness.open(program_name(n), large_limits);
        harness.turn(1, message_of(turn_text_bytes), program_name(n));
        harness.advance(3 * second);
    }
    harness.engine_calls.clear();
    harness.mode = kv_mode::delay;
    const std::vector<request_id> requests{
        harness.begin(2, message_of(10), "0-0"), harness.begin(2, message_of(10), "0-0"),
        harness.begin(2, message_of(10), "0-1"), harness.begin(2, message_of(10), "0-2")};
    harness.execute_delayed_calls();
    CHECK(harness.owner().counters().segment_reads == 1);
    CHECK(harness.engine_calls.size() == 3);
    CHECK(harness.refused(requests[1]).code == result_code::turn_in_progress);
}

TEST_CASE("while the key-value service is down, turns are refused as not run only for programs with evicted texts")
{
    small_owner it;
    it.harness.mode = kv_mode::down;
    const request_id first = it.harness.begin(4, message_of(10), "0-0");
    CHECK(refused_temporarily(it.harness, first, result_code::platform_unavailable));
    const std::uint64_t reads = it.reads();
    CHECK(
        refused_temporarily(it.harness, it.harness.begin(4, message_of(10), "0-1"), result_code::platform_unavailable));
    CHECK(it.reads() == reads);
    CHECK(it.harness.engine_calls.empty());
    CHECK(succeeded(it.harness, it.harness.turn(4, message_of(10), "0-5")));
    it.harness.mode = kv_mode::execute;
    it.harness.advance(10 * second);
    CHECK(succeeded(it.harness, it.harness.turn(4, message_of(10), "0-0")));
}

TEST_CASE("during a slow read new turns are refused at once, waiting ones after a timeout, and the late reply is used")
{
    small_owner it;
    it.harness.mode = kv_mode::delay;
    const request_id first = it.harness.begin(4, message_of(10), "0-0");
    it.harness.advance(second);
    CHECK_FALSE(it.harness.has_reply(first));
    CHECK(
        refused_temporarily(it.harness, it.harness.begin(4, message_of(10), "0-1"), result_code::platform_unavailable));
    it.harness.advance(2 * second);
    CHECK(refused_temporarily(it.harness, first, result_code::platform_unavailable));
    const std::vector<kv_call> late = it.harness.delayed_calls;
    it.harness.execute_delayed_calls();
    for (const kv_call& call : late) {
        it.harness.handle(it.shared.kv.apply(call));
    }
    CHECK(it.harness.engine_calls.empty());
    const std::uint64_t reads = it.reads();
    CHECK(succeeded(it.harness, it.harness.turn(4, message_of(10), "0-0")));
    CHECK(it.reads() == reads);
}

TEST_CASE("an outage during a read refuses the turn, and a later turn starts a new read")
{
    small_owner it;
    it.harness.open("0-9", large_limits);
    for (std::uint64_t turn = 1; turn <= 3; ++turn) {
        it.harness.turn(turn, message_of(turn_text_bytes), "0-9");
        it.harness.advance(3 * second);
    }
    fill(it.harness, 0, 0, 0);
    for (std::size_t n = 20; n < 24; ++n) {
        it.harness.open(program_name(n), large_limits);
        it.harness.turn(1, message_of(4 * turn_text_bytes), program_name(n));
        it.harness.advance(3 * second);
    }
    it.harness.engine_calls.clear();
    it.harness.mode = kv_mode::delay;
    const request_id request = it.harness.begin(4, message_of(10), "0-9");
    it.harness.mode = kv_mode::down;
    REQUIRE(it.harness.delayed_calls.size() == 1);
    it.harness.handle(it.shared.kv.apply(std::exchange(it.harness.delayed_calls, {}).front()));
    CHECK(refused_temporarily(it.harness, request, result_code::platform_unavailable));
    CHECK(it.harness.engine_calls.empty());
    it.harness.mode = kv_mode::execute;
    it.harness.advance(2 * second);
    CHECK(succeeded(it.harness, it.harness.turn(4, message_of(10), "0-9")));
    CHECK(it.harness.engine_calls.back().messages.size() == 7);
}

TEST_CASE("turns that wait for a read are refused when the program ends, at a handover and when the partition is lost")
{
    const auto waiting = [](small_owner& it) {
        it.harness.mode = kv_mode::delay;
        return it.harness.begin(4, message_of(10), "0-0");
    };
    small_owner ended;
    const request_id first = waiting(ended);
    ended.harness.send(end_program{0, "0-0", "acc", "done"});
    CHECK(ended.harness.refused(first).code == result_code::program_ended);
    CHECK(ended.harness.refused(first).run == execution_state::not_run);
    ended.harness.execute_delayed_calls();
    CHECK(ended.harness.engine_calls.empty());

    small_owner handed_over;
    const request_id second_request = waiting(handed_over);
    handed_over.harness.handle(start_handover{{"b1", "b1"}});
    CHECK(refused_temporarily(handed_over.harness, second_request, result_code::stopping));
    handed_over.harness.execute_delayed_calls();
    handed_over.harness.advance(5 * second);
    CHECK(handed_over.harness.lost.has_value());
    CHECK(handed_over.harness.engine_calls.empty());
    CHECK(handed_over.memory->used() == 0);

    small_owner lost;
    const request_id third = waiting(lost);
    owner_harness successor(lost.shared, "b", small_settings(std::make_shared<history_memory>(small_limit)));
    successor.take_over();
    REQUIRE(successor.owner().phase() == owner_phase::ready);
    // The fenced backups refuse the next entry of the former owner.
    lost.harness.open("0-9", large_limits);
    REQUIRE(lost.harness.lost.has_value());
    CHECK(refused_temporarily(lost.harness, third, result_code::program_unavailable));
    CHECK(lost.memory->used() == 0);
    lost.harness.execute_delayed_calls();
    CHECK(lost.harness.engine_calls.empty());
}

TEST_CASE("a text that was changed in a segment is never part of a prompt, and turns of its program are refused")
{
    small_owner it;
    std::vector<kv_entry> changed;
    for (const auto& [key, entry] : it.shared.kv.entries()) {
        if (!key.starts_with("history/")) {
            continue;
        }
        auto texts = decode_segment(entry.value).value();
        for (text_ref& text : texts) {
            turn_text turn = std::get<turn_text>(*text);
            turn.messages.front() = message_of(7);
            text = std::make_shared<const stored_text>(turn);
        }
        it.shared.kv.apply({0, kv_operation::compare_and_swap, key, entry.version, encode_segment(texts)});
    }
    CHECK(
        refused_temporarily(it.harness, it.harness.begin(4, message_of(10), "0-0"), result_code::program_unavailable));
    CHECK(it.harness.owner().counters().digest_mismatches > 0);
    CHECK(it.harness.engine_calls.empty());
}

TEST_CASE("a takeover loads only texts that fit into the history memory, and every program continues")
{
    small_owner it;
    const auto memory = std::make_shared<history_memory>(small_limit);
    owner_harness successor(it.shared, "b", small_settings(memory));
    successor.take_over();
    REQUIRE(successor.owner().phase() == owner_phase::ready);
    CHECK(memory->used() <= small_limit);
    CHECK(memory->used() > 0);
    for (std::size_t n = 0; n < 6; ++n) {
        CHECK(succeeded(successor, successor.turn(4, message_of(10), program_name(n))));
        CHECK(successor.engine_calls.back().messages.size() == 7);
    }
    CHECK(successor.owner().counters().segment_reads > 0);
}

TEST_CASE("hundreds of programs with histories far above the limit stay below it in accounted and in heap bytes")
{
    constexpr std::size_t limit = 4 * 1024 * 1024;
    constexpr std::size_t programs = 300;
    constexpr std::size_t bytes = 16 * 1024;
    cluster shared;
    const auto memory = std::make_shared<history_memory>(limit);
    owner_settings settings;
    settings.memory = memory;
    std::optional<owner_harness> harness;
    harness.emplace(shared, "a", settings);
    harness->take_over();
    std::size_t max_used = 0;
    for (std::size_t n = 0; n < programs; ++n) {
        harness->open(program_name(n), large_limits);
        for (std::uint64_t turn = 1; turn <= 8; ++turn) {
            CHECK(succeeded(*harness, harness->turn(turn, message_of(bytes), program_name(n))));
            harness->engine_calls.clear();
            harness->replicated.clear();
            max_used = std::max(max_used, memory->used());
        }
        harness->advance(3 * second);
    }
    CHECK(max_used <= limit);
    // Continues programs in a different order than that of their last use.
    for (std::size_t n = 0; n < programs; n += 7) {
        CHECK(succeeded(*harness, harness->turn(9, message_of(10), program_name(n))));
        harness->engine_calls.clear();
        harness->replicated.clear();
        harness->advance(3 * second);
        max_used = std::max(max_used, memory->used());
    }
    harness->replies.clear();
    const owner_counters counters = harness->owner().counters();
    const std::size_t before = heap_bytes();
    harness.reset();
    const std::size_t heap = before - heap_bytes();
    MESSAGE(programs, " programs, ", programs * 8 * bytes / 1024, " KiB of history, limit ", limit / 1024,
            " KiB: accounted ", max_used / 1024, " KiB, heap ", heap / 1024, " KiB, texts evicted ",
            counters.evicted_texts, ", segments read ", counters.segment_reads);
    constexpr std::size_t program_overhead = 4096;
    CHECK(max_used <= limit);
    CHECK(heap <= limit + programs * program_overhead);
}

TEST_CASE("work above the limit is refused as not run while texts cannot be flushed, and continues afterwards")
{
    cluster shared;
    const auto memory = std::make_shared<history_memory>(small_limit);
    owner_harness harness(shared, "a", small_settings(memory));
    harness.take_over().open("0-0", large_limits);
    harness.mode = kv_mode::down;
    std::uint64_t turn = 0;
    while (turn < 100 && succeeded(harness, harness.turn(turn + 1, message_of(turn_text_bytes), "0-0"))) {
        ++turn;
    }
    CHECK(turn > 5);
    CHECK(turn < 20);
    const request_id refused = harness.begin(turn + 1, message_of(turn_text_bytes), "0-0");
    CHECK(harness.refused(refused).run == execution_state::not_run);
    CHECK(harness.refused(refused).retry_after_ms > 0);
    CHECK(harness.refused(harness.send(open_program{0, "0-1", "", "acc", "svc", large_limits, 4})).run ==
          execution_state::not_run);
    harness.mode = kv_mode::execute;
    harness.advance(10 * second);
    CHECK(succeeded(harness, harness.turn(turn + 1, message_of(turn_text_bytes), "0-0")));
}

TEST_CASE("texts of small segments are evicted too, so that they alone cannot block new work permanently")
{
    cluster shared;
    owner_settings settings;
    settings.memory = std::make_shared<history_memory>(small_limit);
    owner_harness harness(shared, "a", settings);
    harness.take_over();
    for (std::size_t n = 0; n < 30; ++n) {
        harness.open(program_name(n), large_limits);
        CHECK(succeeded(harness, harness.turn(1, message_of(turn_text_bytes), program_name(n))));
        harness.advance(3 * second);
    }
    CHECK(settings.memory->used() <= small_limit);
    CHECK(succeeded(harness, harness.turn(2, message_of(10), "0-0")));
    CHECK(harness.engine_calls.back().messages.size() == 3);
}

TEST_CASE("partitions of one process share one limit, and an idle one frees its memory for a busy one")
{
    cluster shared;
    const auto memory = std::make_shared<history_memory>(small_limit);
    owner_harness idle(shared, "a", small_settings(memory));
    idle.take_over();
    fill(idle, 3, 3, turn_text_bytes);
    owner_settings settings = small_settings(memory);
    settings.partition = 1;
    owner_harness busy(shared, "c", settings);
    busy.take_over();
    busy.open("1-0", large_limits);
    std::uint64_t turn = 0;
    while (turn < 30) {
        const bool done = succeeded(busy, busy.turn(turn + 1, message_of(100), "1-0"));
        turn += done ? 1 : 0;
        busy.advance(3 * second);
        idle.advance(second);
        CHECK(memory->used() <= small_limit + small_limit / 8);
        REQUIRE(shared.now < 1000 * second);
    }
    CHECK(idle.owner().counters().evicted_texts > 0);
    CHECK(succeeded(idle, idle.turn(4, message_of(10), "0-0")));
}
