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

std::string name_of(std::size_t n)
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

/// Opens programs, runs turns of the given size in each, and lets the texts reach the key-value service.
void fill(owner_harness& rig, std::size_t programs, std::uint64_t turns, std::size_t bytes)
{
    for (std::size_t n = 0; n < programs; ++n) {
        rig.open(name_of(n), large_limits);
        for (std::uint64_t turn = 1; turn <= turns; ++turn) {
            rig.turn(turn, message_of(bytes), name_of(n));
            // The prompts that the rig keeps are not part of what is measured.
            rig.engine_calls.clear();
            rig.replicated.clear();
        }
        rig.advance(3 * second);
    }
    rig.replicated.clear();
    rig.answers.clear();
}

/// Heap bytes of an owner with its programs, without the key-value service and the copies.
std::size_t owner_bytes(std::size_t programs, std::uint64_t turns, std::size_t bytes)
{
    cluster shared;
    std::optional<owner_harness> rig;
    rig.emplace(shared, "a");
    rig->take_over();
    fill(*rig, programs, turns, bytes);
    const std::size_t before = heap_bytes();
    rig.reset();
    return before - heap_bytes();
}

/// A bound of a few turns: each turn of `turn_text_bytes` counts a little more than 1,500 bytes.
constexpr std::size_t small_limit = 16 * 1024;
constexpr std::size_t turn_text_bytes = 1000;

owner_settings small_settings(std::shared_ptr<history_memory> memory)
{
    owner_settings settings;
    settings.memory = std::move(memory);
    settings.journal.min_evictable_bytes = 1;
    return settings;
}

/// An owner with programs 0-0 to 0-5 of 3 turns each, more than the bound, so that the texts of the first ones are only
/// in the key-value service.
struct small_owner {
    cluster shared;
    std::shared_ptr<history_memory> memory = std::make_shared<history_memory>(small_limit);
    owner_harness rig;

    explicit small_owner() : rig(shared, "a", small_settings(memory))
    {
        rig.take_over();
        fill(rig, 6, 3, turn_text_bytes);
    }

    std::uint64_t reads() { return rig.owner().counters().segment_reads; }
};

bool answered_ok(const owner_harness& rig, request_id request)
{
    return rig.ok(request) != nullptr;
}

bool refused_for_now(const owner_harness& rig, request_id request, result_code code)
{
    const refusal reason = rig.refused(request);
    return reason.code == code && reason.run == run_state::not_run && reason.retry_after_ms > 0;
}

} // namespace

TEST_CASE("memory of an owner against the number of programs and the bytes of history")
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

TEST_CASE("a program whose texts were dropped goes on with its whole history, so that no engine misses a part of it")
{
    small_owner it;
    CHECK(it.memory->used() <= small_limit);
    CHECK(it.rig.owner().counters().evicted_texts > 0);
    CHECK(it.reads() == 0);
    const request_id request = it.rig.begin(4, message_of(10), "0-0");
    CHECK(it.reads() > 0);
    REQUIRE(it.rig.engine_calls.size() == 1);
    CHECK(it.rig.engine_calls.back().messages.size() == 7);
    CHECK(it.rig.engine_calls.back().messages.front() == message_of(turn_text_bytes));
    it.rig.complete(it.rig.engine_calls.back());
    CHECK(answered_ok(it.rig, request));
}

TEST_CASE("a repeated turn and a full list of messages are compared with texts that are read back")
{
    small_owner it;
    const request_id again = it.rig.begin(3, message_of(turn_text_bytes), "0-0");
    CHECK(answered_ok(it.rig, again));
    CHECK(it.rig.engine_calls.empty());
    const request_id other = it.rig.begin(3, message_of(5), "0-1");
    CHECK(it.rig.refused(other).code == result_code::turn_conflict);
    CHECK(it.rig.refused(it.rig.begin(5, message_of(5), "0-2")).code == result_code::turn_out_of_order);
    const request_id full = it.rig.ask(
        begin_turn{0, "0-2", "acc", 0, true, {message_of(5), message_of(6)}, 50, {1, 0, 0}, it.shared.now + second});
    CHECK(it.rig.refused(full).code == result_code::turn_conflict);
    CHECK(it.rig.engine_calls.empty());
}

TEST_CASE("turns that wait for one segment share one read, so that a crowd does not multiply the reads")
{
    cluster shared;
    owner_harness rig(shared, "a", small_settings(std::make_shared<history_memory>(small_limit)));
    rig.take_over();
    for (std::size_t n = 0; n < 4; ++n) {
        rig.open(name_of(n), large_limits);
        rig.turn(1, message_of(turn_text_bytes), name_of(n));
    }
    rig.advance(3 * second);
    fill(rig, 0, 0, 0);
    for (std::size_t n = 10; n < 30; ++n) {
        rig.open(name_of(n), large_limits);
        rig.turn(1, message_of(turn_text_bytes), name_of(n));
        rig.advance(3 * second);
    }
    rig.engine_calls.clear();
    rig.mode = kv_mode::hold;
    const std::vector<request_id> requests{rig.begin(2, message_of(10), "0-0"), rig.begin(2, message_of(10), "0-0"),
                                           rig.begin(2, message_of(10), "0-1"), rig.begin(2, message_of(10), "0-2")};
    rig.release_kv();
    CHECK(rig.owner().counters().segment_reads == 1);
    CHECK(rig.engine_calls.size() == 3);
    CHECK(rig.refused(requests[1]).code == result_code::turn_in_progress);
}

TEST_CASE("while the key-value service is down only programs without their texts are refused, as not run")
{
    small_owner it;
    it.rig.mode = kv_mode::down;
    const request_id first = it.rig.begin(4, message_of(10), "0-0");
    CHECK(refused_for_now(it.rig, first, result_code::platform_unavailable));
    const std::uint64_t reads = it.reads();
    CHECK(refused_for_now(it.rig, it.rig.begin(4, message_of(10), "0-1"), result_code::platform_unavailable));
    CHECK(it.reads() == reads);
    CHECK(it.rig.engine_calls.empty());
    CHECK(answered_ok(it.rig, it.rig.turn(4, message_of(10), "0-5")));
    it.rig.mode = kv_mode::answer;
    it.rig.advance(10 * second);
    CHECK(answered_ok(it.rig, it.rig.turn(4, message_of(10), "0-0")));
}

TEST_CASE("a slow read refuses later turns at once and earlier ones after a while, and its late reply does no harm")
{
    small_owner it;
    it.rig.mode = kv_mode::hold;
    const request_id first = it.rig.begin(4, message_of(10), "0-0");
    it.rig.advance(second);
    CHECK_FALSE(it.rig.answered(first));
    CHECK(refused_for_now(it.rig, it.rig.begin(4, message_of(10), "0-1"), result_code::platform_unavailable));
    it.rig.advance(2 * second);
    CHECK(refused_for_now(it.rig, first, result_code::platform_unavailable));
    const std::vector<kv_call> late = it.rig.held;
    it.rig.release_kv();
    for (const kv_call& call : late) {
        it.rig.handle(it.shared.kv.apply(call));
    }
    CHECK(it.rig.engine_calls.empty());
    const std::uint64_t reads = it.reads();
    CHECK(answered_ok(it.rig, it.rig.turn(4, message_of(10), "0-0")));
    CHECK(it.reads() == reads);
}

TEST_CASE("an outage in the middle of a read refuses the turn, and a later turn starts again")
{
    small_owner it;
    it.rig.open("0-9", large_limits);
    for (std::uint64_t turn = 1; turn <= 3; ++turn) {
        it.rig.turn(turn, message_of(turn_text_bytes), "0-9");
        it.rig.advance(3 * second);
    }
    fill(it.rig, 0, 0, 0);
    for (std::size_t n = 20; n < 24; ++n) {
        it.rig.open(name_of(n), large_limits);
        it.rig.turn(1, message_of(4 * turn_text_bytes), name_of(n));
        it.rig.advance(3 * second);
    }
    it.rig.engine_calls.clear();
    it.rig.mode = kv_mode::hold;
    const request_id request = it.rig.begin(4, message_of(10), "0-9");
    it.rig.mode = kv_mode::down;
    REQUIRE(it.rig.held.size() == 1);
    it.rig.handle(it.shared.kv.apply(std::exchange(it.rig.held, {}).front()));
    CHECK(refused_for_now(it.rig, request, result_code::platform_unavailable));
    CHECK(it.rig.engine_calls.empty());
    it.rig.mode = kv_mode::answer;
    it.rig.advance(2 * second);
    CHECK(answered_ok(it.rig, it.rig.turn(4, message_of(10), "0-9")));
    CHECK(it.rig.engine_calls.back().messages.size() == 7);
}

TEST_CASE("the end of a program, a handover and a loss answer the turns that wait for a read")
{
    const auto waiting = [](small_owner& it) {
        it.rig.mode = kv_mode::hold;
        return it.rig.begin(4, message_of(10), "0-0");
    };
    small_owner ended;
    const request_id first = waiting(ended);
    ended.rig.ask(end_program{0, "0-0", "acc", "done"});
    CHECK(ended.rig.refused(first).code == result_code::program_ended);
    CHECK(ended.rig.refused(first).run == run_state::not_run);
    ended.rig.release_kv();
    CHECK(ended.rig.engine_calls.empty());

    small_owner handed_over;
    const request_id second_request = waiting(handed_over);
    handed_over.rig.handle(start_handover{{"b1", "b1"}});
    CHECK(refused_for_now(handed_over.rig, second_request, result_code::stopping));
    handed_over.rig.release_kv();
    handed_over.rig.advance(5 * second);
    CHECK(handed_over.rig.lost.has_value());
    CHECK(handed_over.rig.engine_calls.empty());
    CHECK(handed_over.memory->used() == 0);

    small_owner lost;
    const request_id third = waiting(lost);
    owner_harness successor(lost.shared, "b", small_settings(std::make_shared<history_memory>(small_limit)));
    successor.take_over();
    REQUIRE(successor.owner().phase() == owner_phase::ready);
    // The fenced backups refuse its next entry.
    lost.rig.open("0-9", large_limits);
    REQUIRE(lost.rig.lost.has_value());
    CHECK(refused_for_now(lost.rig, third, result_code::program_unavailable));
    CHECK(lost.memory->used() == 0);
    lost.rig.release_kv();
    CHECK(lost.rig.engine_calls.empty());
}

TEST_CASE("a text that was changed in a segment is never part of a prompt, and its program is refused")
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
    CHECK(refused_for_now(it.rig, it.rig.begin(4, message_of(10), "0-0"), result_code::program_unavailable));
    CHECK(it.rig.owner().counters().digest_mismatches > 0);
    CHECK(it.rig.engine_calls.empty());
}

TEST_CASE("a takeover keeps only the texts for which there is room, and continues every program")
{
    small_owner it;
    const auto memory = std::make_shared<history_memory>(small_limit);
    owner_harness successor(it.shared, "b", small_settings(memory));
    successor.take_over();
    REQUIRE(successor.owner().phase() == owner_phase::ready);
    CHECK(memory->used() <= small_limit);
    CHECK(memory->used() > 0);
    for (std::size_t n = 0; n < 6; ++n) {
        CHECK(answered_ok(successor, successor.turn(4, message_of(10), name_of(n))));
        CHECK(successor.engine_calls.back().messages.size() == 7);
    }
    CHECK(successor.owner().counters().segment_reads > 0);
}

TEST_CASE("hundreds of programs with histories far above the bound stay below it in counted and in heap bytes")
{
    constexpr std::size_t limit = 4 * 1024 * 1024;
    constexpr std::size_t programs = 300;
    constexpr std::size_t bytes = 16 * 1024;
    cluster shared;
    const auto memory = std::make_shared<history_memory>(limit);
    owner_settings settings;
    settings.memory = memory;
    std::optional<owner_harness> rig;
    rig.emplace(shared, "a", settings);
    rig->take_over();
    std::size_t most = 0;
    for (std::size_t n = 0; n < programs; ++n) {
        rig->open(name_of(n), large_limits);
        for (std::uint64_t turn = 1; turn <= 8; ++turn) {
            CHECK(answered_ok(*rig, rig->turn(turn, message_of(bytes), name_of(n))));
            rig->engine_calls.clear();
            rig->replicated.clear();
            most = std::max(most, memory->used());
        }
        rig->advance(3 * second);
    }
    CHECK(most <= limit);
    // Every program goes on, in another order than the one in which they were used.
    for (std::size_t n = 0; n < programs; n += 7) {
        CHECK(answered_ok(*rig, rig->turn(9, message_of(10), name_of(n))));
        rig->engine_calls.clear();
        rig->replicated.clear();
        rig->advance(3 * second);
        most = std::max(most, memory->used());
    }
    rig->answers.clear();
    const owner_counters counters = rig->owner().counters();
    const std::size_t before = heap_bytes();
    rig.reset();
    const std::size_t heap = before - heap_bytes();
    MESSAGE(programs, " programs, ", programs * 8 * bytes / 1024, " KiB of history, bound ", limit / 1024,
            " KiB: counted ", most / 1024, " KiB, heap ", heap / 1024, " KiB, texts dropped ", counters.evicted_texts,
            ", segments read ", counters.segment_reads);
    constexpr std::size_t program_overhead = 4096;
    CHECK(most <= limit);
    CHECK(heap <= limit + programs * program_overhead);
}

TEST_CASE("work above the bound is refused as not run while texts cannot be written down, and goes on afterwards")
{
    cluster shared;
    const auto memory = std::make_shared<history_memory>(small_limit);
    owner_harness rig(shared, "a", small_settings(memory));
    rig.take_over().open("0-0", large_limits);
    rig.mode = kv_mode::down;
    std::uint64_t turn = 0;
    while (turn < 100 && answered_ok(rig, rig.turn(turn + 1, message_of(turn_text_bytes), "0-0"))) {
        ++turn;
    }
    CHECK(turn > 5);
    CHECK(turn < 20);
    const request_id refused = rig.begin(turn + 1, message_of(turn_text_bytes), "0-0");
    CHECK(rig.refused(refused).run == run_state::not_run);
    CHECK(rig.refused(refused).retry_after_ms > 0);
    CHECK(rig.refused(rig.ask(open_program{0, "0-1", "", "acc", "svc", large_limits, 4})).run == run_state::not_run);
    rig.mode = kv_mode::answer;
    rig.advance(10 * second);
    CHECK(answered_ok(rig, rig.turn(turn + 1, message_of(turn_text_bytes), "0-0")));
}

TEST_CASE("texts of small segments alone do not fill the memory for ever, so that work is not refused without end")
{
    cluster shared;
    owner_settings settings;
    settings.memory = std::make_shared<history_memory>(small_limit);
    owner_harness rig(shared, "a", settings);
    rig.take_over();
    for (std::size_t n = 0; n < 30; ++n) {
        rig.open(name_of(n), large_limits);
        CHECK(answered_ok(rig, rig.turn(1, message_of(turn_text_bytes), name_of(n))));
        rig.advance(3 * second);
    }
    CHECK(settings.memory->used() <= small_limit);
    CHECK(answered_ok(rig, rig.turn(2, message_of(10), "0-0")));
    CHECK(rig.engine_calls.back().messages.size() == 3);
}

TEST_CASE("partitions of one process share one bound, so that an idle one gives up its memory for a busy one")
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
        const bool done = answered_ok(busy, busy.turn(turn + 1, message_of(100), "1-0"));
        turn += done ? 1 : 0;
        busy.advance(3 * second);
        idle.advance(second);
        CHECK(memory->used() <= small_limit + small_limit / 8);
        REQUIRE(shared.now < 1000 * second);
    }
    CHECK(idle.owner().counters().evicted_texts > 0);
    CHECK(answered_ok(idle, idle.turn(4, message_of(10), "0-0")));
}
