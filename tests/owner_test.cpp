#include "owner_harness.h"

#include "program/backup_set.h"

#include "program/history.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace lagoonferry;
using namespace lagoonferry::test;

namespace {

constexpr timestamp ms{std::chrono::milliseconds{1}};
const std::string hello = R"({"content":"hello","role":"user"})";
const std::string more = R"({"content":"more","role":"user"})";
const std::string yes = R"({"content":"yes","role":"assistant"})";

nlohmann::json state_of(owner_harness& harness, const std::string& program = "0-a")
{
    const request_id request = harness.send(query_program{0, program, "acc"});
    REQUIRE(harness.ok(request) != nullptr);
    return nlohmann::json::parse(harness.ok(request)->payload);
}

} // namespace

TEST_CASE("a repeated turn returns the stored answer without a second engine call, and other turn numbers are refused")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    const request_id first = harness.turn(1, hello);
    REQUIRE(harness.ok(first) != nullptr);
    CHECK(harness.ok(first)->payload == yes);
    const request_id again = harness.begin(1, R"({ "role":"user", "content":"hello", "name":null })");
    CHECK(harness.ok(again)->payload == yes);
    CHECK(harness.engine_calls.size() == 1);
    CHECK(harness.refused(harness.begin(1, more)).code == result_code::turn_conflict);
    CHECK(harness.refused(harness.begin(3, more)).code == result_code::turn_out_of_order);
    CHECK(harness.refused(harness.begin(2, "not json")).code == result_code::malformed);
    const request_id running = harness.begin(2, more);
    CHECK_FALSE(harness.has_reply(running));
    CHECK(harness.refused(harness.begin(2, more)).code == result_code::turn_in_progress);
    CHECK(harness.engine_calls.back().messages == std::vector<std::string>{hello, yes, more});
    CHECK(harness.refused(harness.send(begin_turn{0, "0-a", "other", 3, false, {hello}, 5, {}, shared.now + 1000 * ms}))
              .code == result_code::unauthorized);
}

TEST_CASE("a full list of messages is checked against the digest chain, and a changed history is refused")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.turn(1, hello);
    const auto full = [&](std::uint64_t number, std::vector<std::string> messages) {
        return harness.send(
            begin_turn{0, "0-a", "acc", number, true, std::move(messages), 5, {}, shared.now + 1000 * ms});
    };
    CHECK(harness.refused(full(2, {R"({"content":"hullo","role":"user"})", yes, more})).code ==
          result_code::turn_conflict);
    CHECK(harness.refused(full(2, {hello, yes})).code == result_code::malformed);
    CHECK(harness.refused(full(0, {hello, yes, more, yes, more})).code == result_code::turn_conflict);
    CHECK(harness.ok(full(0, {hello}))->turn == 1);
    const std::string echoed = R"({"role":"assistant","content":"yes","refusal":null})";
    CHECK(harness.refused(full(1, {echoed, hello})).code == result_code::turn_conflict);
    CHECK_FALSE(harness.has_reply(full(0, {R"({"role":"user","content":"hello"})", echoed, more})));
    CHECK(harness.engine_calls.back().turn == 2);
    CHECK(harness.engine_calls.back().messages == std::vector<std::string>{hello, yes, more});
}

TEST_CASE("results of earlier calls and of other epochs are dropped and counted")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.turn(1, hello);
    harness.complete(harness.engine_calls.front(), R"({"content":"late"})");
    const request_id second = harness.begin(2, more);
    harness.complete(harness.engine_calls.front(), R"({"content":"late"})");
    start_engine_call stale = harness.engine_calls.back();
    stale.epoch = 0;
    harness.complete(stale);
    CHECK_FALSE(harness.has_reply(second));
    CHECK(harness.owner().counters().stale_results == 3);
}

TEST_CASE("a turn is stored with all backups, or with one of them after 50 ms, and is otherwise refused as not stored")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    REQUIRE(harness.ok(harness.turn(1, hello)) != nullptr);
    shared.unreachable = {"b2"};
    const request_id one = harness.turn(2, hello);
    CHECK_FALSE(harness.has_reply(one));
    harness.advance(50 * ms);
    CHECK(harness.ok(one) != nullptr);
    harness.set_peers({{"b1"}, {"b2", 1, true}});
    CHECK(harness.ok(harness.turn(3, hello)) != nullptr);

    shared.unreachable = {"b1", "b2"};
    harness.mode = kv_mode::down;
    const request_id none = harness.turn(4, hello);
    harness.advance(1999 * ms);
    CHECK_FALSE(harness.has_reply(none));
    harness.advance(ms);
    CHECK(harness.refused(none).code == result_code::not_stored);
    CHECK(harness.refused(none).run == execution_state::run);
    CHECK(state_of(harness).at("turns") == 3);
    const refusal next = harness.refused(harness.begin(5, more));
    CHECK(next.code == result_code::not_stored);
    CHECK(next.run == execution_state::not_run);
    shared.unreachable.clear();
    harness.advance(1000 * ms);
    CHECK(harness.ok(harness.begin(4, hello)) != nullptr);
    CHECK(harness.engine_calls.size() == 4);
}

TEST_CASE("without backups a turn is stored once the key-value service has its entry and its text")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.set_peers({});
    harness.take_over().open();
    harness.advance(1000 * ms);
    const request_id request = harness.begin(1, hello);
    harness.advance(1000 * ms);
    REQUIRE(harness.engine_calls.size() == 1);
    harness.complete(harness.engine_calls.back());
    CHECK_FALSE(harness.has_reply(request));
    harness.advance(1500 * ms);
    CHECK(harness.ok(request) != nullptr);
}

TEST_CASE("an irreversible call is sent only after its intent is confirmed, and repetitions get the result of its key")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.advance(2000 * ms);
    harness.mode = kv_mode::delay;
    const request_id first = harness.call("k");
    CHECK(harness.delayed_calls.size() == 1);
    CHECK(harness.tool_calls.empty());
    harness.execute_delayed_calls();
    REQUIRE(harness.tool_calls.size() == 1);
    CHECK(harness.tool_calls.front().epoch == harness.owner().epoch());
    const refusal running = harness.refused(harness.call("k"));
    CHECK(running.run == execution_state::outcome_unknown);
    harness.finish(harness.tool_calls.front(), call_status::completed, "paid");
    CHECK(harness.ok(first)->payload == "paid");
    CHECK(harness.ok(harness.call("k"))->payload == "paid");
    CHECK(harness.ok(harness.send(query_call{0, "0-a", "acc", "k"}))->payload == "paid");
    CHECK(harness.refused(harness.send(query_call{0, "0-a", "acc", "other"})).code == result_code::key_missing);
    CHECK(harness
              .refused(harness.send(
                  begin_call{0, "0-a", "acc", true, "k", "pay", "{\"other\":1}", 1, shared.now + 1000 * ms}))
              .code == result_code::key_conflict);
    CHECK(harness.refused(harness.call("")).code == result_code::key_missing);
    CHECK(harness.tool_calls.size() == 1);
}

TEST_CASE("an intent that is not confirmed in time is refused as not run and never sent, even if it takes effect later")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.advance(2000 * ms);
    harness.mode = kv_mode::delay;
    const request_id request = harness.call("k");
    harness.advance(2000 * ms);
    CHECK(harness.refused(request).code == result_code::platform_unavailable);
    CHECK(harness.refused(request).run == execution_state::not_run);
    // The key-value service is known to be down, so the next call is refused at once, without an intent.
    CHECK(harness.refused(harness.call("k2")).code == result_code::platform_unavailable);
    harness.execute_delayed_calls();
    harness.advance(2000 * ms);
    CHECK(harness.tool_calls.empty());
    // The key of the abandoned call can be used again.
    CHECK_FALSE(harness.has_reply(harness.call("k")));
    CHECK(harness.tool_calls.size() == 1);
}

TEST_CASE("after a lost reply to the write of its intent a call is neither sent twice nor reported as not run")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.advance(2000 * ms);
    harness.mode = kv_mode::lose_reply;
    const request_id request = harness.call("k");
    harness.advance(200 * ms);
    CHECK(harness.tool_calls.size() == 1);
    harness.finish(harness.tool_calls.front(), call_status::completed);
    CHECK(harness.ok(request) != nullptr);
}

TEST_CASE("a call that was not sent is reported as not run, a lost result as outcome unknown, without another attempt")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    const request_id unsent = harness.call("k");
    harness.finish(harness.tool_calls.back(), call_status::not_sent, "connection refused");
    CHECK(harness.refused(unsent).code == result_code::target_failed);
    CHECK(harness.refused(unsent).run == execution_state::not_run);
    const request_id second = harness.call("k");
    harness.finish(harness.tool_calls.back(), call_status::unknown, "timeout");
    CHECK(harness.refused(second).code == result_code::outcome_unknown);
    CHECK(harness.refused(harness.call("k")).code == result_code::outcome_unknown);
    CHECK(harness.tool_calls.size() == 2);
}

TEST_CASE("a result that arrives after the deadline is recorded and returned to later queries")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.deadline = 1000 * ms;
    const request_id request = harness.call("k");
    harness.advance(1000 * ms);
    CHECK(harness.refused(request).code == result_code::outcome_unknown);
    harness.finish(harness.tool_calls.front(), call_status::completed, "paid late");
    CHECK(harness.ok(harness.send(query_call{0, "0-a", "acc", "k"}))->payload == "paid late");
    CHECK(harness.refused(request).code == result_code::outcome_unknown);
}

TEST_CASE("an idempotent call is repeated up to its maximum attempts, also while the key-value service is down")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.advance(2000 * ms);
    harness.mode = kv_mode::down;
    const request_id request = harness.call("", false);
    harness.finish(harness.tool_calls.back(), call_status::unknown);
    harness.advance(100 * ms);
    REQUIRE(harness.tool_calls.size() == 2);
    harness.finish(harness.tool_calls.front(), call_status::completed, "of the first attempt");
    CHECK_FALSE(harness.has_reply(request));
    harness.finish(harness.tool_calls.back(), call_status::completed, "second");
    CHECK(harness.ok(request)->payload == "second");
    CHECK(harness.ok(harness.turn(1, hello)) != nullptr);
    CHECK(harness.refused(harness.call("k")).code == result_code::ok);
    harness.advance(2000 * ms);
    CHECK(harness.tool_calls.size() == 2);
}

TEST_CASE("a long result is stored as a text and survives a takeover")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.call("k");
    const std::string result(5000, 'r');
    harness.finish(harness.tool_calls.back(), call_status::completed, result);
    owner_harness successor(shared, "c");
    successor.take_over();
    CHECK(successor.ok(successor.call("k"))->payload == result);
    CHECK(successor.tool_calls.empty());
}

TEST_CASE("a successor continues turns from the replicas, reports sent calls as unknown and never repeats them")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.turn(1, hello);
    harness.call("k");
    harness.turn(2, more);
    owner_harness successor(shared, "c");
    successor.take_over();
    REQUIRE(successor.owner().phase() == owner_phase::ready);
    CHECK(successor.refused(successor.call("k")).code == result_code::outcome_unknown);
    CHECK(successor.ok(successor.begin(2, more)) != nullptr);
    successor.begin(3, more);
    CHECK(successor.engine_calls.back().messages == std::vector<std::string>{hello, yes, more, yes, more});
    CHECK(successor.tool_calls.empty());

    // The replies of its backups show the former owner that it was replaced.
    const request_id late = harness.turn(3, hello);
    CHECK(harness.refused(late).run == execution_state::run);
    CHECK(harness.lost);
    CHECK(harness.refused(harness.begin(3, hello)).run == execution_state::not_run);
}

TEST_CASE("a backup that does not reply blocks the takeover until the instance list no longer contains it")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.turn(1, hello);
    shared.unreachable = {"b2"};
    owner_harness successor(shared, "c");
    successor.take_over();
    successor.advance(10000 * ms);
    CHECK(successor.owner().phase() == owner_phase::taking_over);
    const refusal waiting = successor.refused(successor.begin(2, more));
    CHECK(waiting.code == result_code::program_unavailable);
    CHECK(waiting.run == execution_state::not_run);
    CHECK(waiting.retry_after_ms > 0);
    successor.set_peers({{"b1"}, {"b2", 1, true, false}});
    successor.advance(1000 * ms);
    CHECK(successor.owner().phase() == owner_phase::ready);
}

TEST_CASE("after the loss of the owner and a replica no program continues from an older turn, even after two takeovers")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.turn(1, hello);
    harness.call("k");
    harness.finish(harness.tool_calls.back(), call_status::completed, "paid");
    // Only b2 acknowledges turn 2 before it is lost with the owner.
    shared.unreachable = {"b1"};
    const request_id acknowledged = harness.turn(2, more);
    harness.advance(60 * ms);
    REQUIRE(harness.ok(acknowledged) != nullptr);
    shared.unreachable.clear();
    shared.restart("b2", 2);
    for (const char* id : {"c", "d"}) {
        owner_harness successor(shared, id);
        successor.set_peers({{"b1"}, {"b2", 2}});
        successor.take_over();
        REQUIRE(successor.owner().phase() == owner_phase::ready);
        const refusal reason = successor.refused(successor.begin(2, hello));
        CHECK(reason.code == result_code::program_unavailable);
        CHECK(reason.run == execution_state::not_run);
        CHECK(reason.retry_after_ms == 0);
        CHECK(state_of(successor).at("state") == "unavailable");
        CHECK(successor.ok(successor.call("k")) != nullptr);
        CHECK(successor.refused(successor.call("k2")).code == result_code::program_unavailable);
        successor.open("0-" + std::string(id));
        CHECK(successor.ok(successor.turn(1, hello, "0-" + std::string(id))) != nullptr);
    }
}

TEST_CASE("a text that does not match its digest is never used, and its program is unavailable instead of shortened")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.turn(1, hello);
    // Both replicas contain another answer with the recorded digest, as after memory corruption.
    fetch_reply fetched = shared.stores.at("b1")->fetch({0, harness.owner().epoch(), 0});
    for (log_item& it : fetched.items) {
        if (it.text && std::holds_alternative<turn_text>(*it.text)) {
            turn_text changed = std::get<turn_text>(*it.text);
            changed.answer = R"({"content":"no"})";
            it.text = std::make_shared<const stored_text>(changed);
        }
    }
    replicate_request forged{0, 1, harness.owner().epoch(), 99, true, 0, 0, fetched.items};
    CHECK(shared.stores.at("b1")->replicate(forged).status == replicate_status::gap);
    shared.unreachable = {"b1", "b2"};
    owner_harness successor(shared, "c");
    successor.take_over();
    for (const char* id : {"b1", "b2"}) {
        successor.handle(fetch_reply{0, id, 1, successor.owner().epoch(), 0, false, 1, fetched.last, fetched.items});
    }
    REQUIRE(successor.owner().phase() == owner_phase::ready);
    CHECK(successor.owner().counters().digest_mismatches > 0);
    CHECK(successor.refused(successor.begin(1, hello)).code == result_code::program_unavailable);
}

TEST_CASE("a removed backup is replaced with an append, and both lists of backups count until it is confirmed")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.turn(1, hello);
    harness.advance(3000 * ms);
    harness.mode = kv_mode::delay;
    harness.set_peers({{"b1"}, {"b2", 1, true, false}, {"b3"}});
    REQUIRE(harness.delayed_calls.size() == 1);
    // Only b3, which is not in the confirmed list, acknowledges.
    shared.unreachable = {"b1"};
    const request_id request = harness.turn(2, hello);
    harness.advance(100 * ms);
    CHECK_FALSE(harness.has_reply(request));
    harness.execute_delayed_calls();
    harness.advance(100 * ms);
    CHECK(harness.ok(request) != nullptr);
    const head_record head = *decode_head(shared.kv.entries().at("partition/0").value);
    CHECK(head.backups == std::vector<backup_ref>{{"b1", "b1", 1}, {"b3", "b3", 1}});
}

TEST_CASE("a restarted backup does not count as one that has the data")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.mode = kv_mode::down;
    shared.unreachable = {"b1"};
    shared.restart("b2", 2);
    const request_id request = harness.turn(1, hello);
    harness.advance(1000 * ms);
    CHECK_FALSE(harness.has_reply(request));
    harness.advance(1000 * ms);
    CHECK(harness.refused(request).code == result_code::not_stored);
}

TEST_CASE("the high-water mark is stored ahead of use in chunks, limits hold, and a crash only overcounts")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open("0-a", {100000, 8, 100});
    for (int n = 1; n <= 3; ++n) {
        CHECK(harness.ok(harness.turn(static_cast<std::uint64_t>(n), hello)) != nullptr);
    }
    owner_harness successor(shared, "c");
    successor.take_over();
    CHECK(state_of(successor).at("spent").at("calls") == 4);
    for (int n = 4; n <= 7; ++n) {
        CHECK(successor.ok(successor.turn(static_cast<std::uint64_t>(n), hello)) != nullptr);
    }
    const refusal reason = successor.refused(successor.begin(8, hello));
    CHECK(reason.code == result_code::budget_exhausted);
    CHECK(reason.run == execution_state::not_run);
}

TEST_CASE("a turn does not run while no backup acknowledges its high-water mark")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.mode = kv_mode::down;
    shared.unreachable = {"b1", "b2"};
    const request_id request = harness.begin(1, hello);
    harness.advance(2000 * ms);
    CHECK(harness.engine_calls.empty());
    CHECK(harness.refused(request).code == result_code::not_stored);
    CHECK(harness.refused(request).run == execution_state::not_run);
    CHECK(harness.refused(harness.begin(1, hello)).code == result_code::not_stored);
}

TEST_CASE("a child reserves a part of its parent's budget and returns the rest when it ends")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open("0-a", {1000, 10, 100});
    harness.open("0-c", {800, 4, 50}, "0-a");
    harness.turn(1, hello, "0-c");
    CHECK(harness.refused(harness.send(open_program{0, "0-d", "0-a", "acc", "svc", {500, 1, 1}, 4})).code ==
          result_code::budget_exhausted);
    CHECK(state_of(harness).at("spent").at("calls") == 4);
    harness.send(end_program{0, "0-c", "acc", "done"});
    CHECK(state_of(harness).at("spent").at("calls") == 1);
    CHECK(harness.released_programs == std::vector<std::string>{"0-c"});
    CHECK(harness.refused(harness.begin(2, hello, "0-c")).code == result_code::program_ended);
    owner_harness successor(shared, "c");
    successor.take_over();
    CHECK(state_of(successor).at("spent").at("calls") == 1);
    CHECK(successor.released_programs == std::vector<std::string>{"0-c"});
}

TEST_CASE("ending a program cancels its running turn and ends its children; a truncated answer adds no turn")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.open("0-c", {100, 2, 10}, "0-a");
    const request_id cut = harness.begin(1, hello);
    harness.handle(engine_failed{harness.engine_calls.back().call, harness.owner().epoch(), result_code::answer_cut,
                                 execution_state::run, "stream ended", 0, "t1"});
    CHECK(harness.refused(cut).code == result_code::answer_cut);
    CHECK(state_of(harness).at("turns") == 0);
    const request_id running = harness.begin(1, hello);
    const request_id end = harness.send(end_program{0, "0-a", "acc", "stop"});
    CHECK(harness.ok(end) != nullptr);
    CHECK(harness.refused(running).run == execution_state::outcome_unknown);
    CHECK(harness.cancelled.size() == 1);
    CHECK(state_of(harness, "0-c").at("state") == "ended");
}

TEST_CASE("a turn that exceeds its deadline is cancelled and refused, so that no caller waits indefinitely")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.deadline = 500 * ms;
    const request_id request = harness.begin(1, hello);
    harness.advance(500 * ms);
    CHECK(harness.refused(request).code == result_code::deadline_exceeded);
    CHECK(harness.refused(request).run == execution_state::outcome_unknown);
    CHECK(harness.cancelled.size() == 1);
    CHECK(harness.ok(harness.turn(1, hello)) != nullptr);
}

TEST_CASE("a handover finishes the running turn, refuses new work and does not overcount the budget")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.turn(1, hello);
    const request_id running = harness.begin(2, more);
    harness.handle(start_handover{{"c", "c:1"}});
    CHECK(harness.refused(harness.call("k")).code == result_code::stopping);
    CHECK_FALSE(harness.lost);
    harness.complete(harness.engine_calls.back());
    CHECK(harness.ok(running) != nullptr);
    REQUIRE(harness.lost);
    CHECK(harness.lost->reason == loss_reason::handed_over);
    CHECK(harness.refused(harness.begin(3, hello)).code == result_code::moved);
    CHECK(harness.refused(harness.begin(3, hello)).owner_address == "c:1");
    owner_harness successor(shared, "c");
    shared.unreachable = {"b1", "b2"};
    successor.take_over();
    CHECK(successor.owner().phase() == owner_phase::ready);
    CHECK(state_of(successor).at("spent").at("calls") == 2);
    CHECK(state_of(successor).at("turns") == 2);
}

TEST_CASE("ended programs and old results are dropped after the retention time, but used keys stay used")
{
    cluster shared;
    owner_harness harness(shared, "a");
    harness.take_over().open();
    harness.open("0-b");
    harness.call("k");
    harness.finish(harness.tool_calls.back(), call_status::completed, "paid");
    harness.send(end_program{0, "0-b", "acc", "done"});
    for (int n = 0; n < 13; ++n) {
        harness.advance(60000 * ms);
    }
    CHECK(harness.refused(harness.send(query_program{0, "0-b", "acc"})).code == result_code::unknown_program);
    const refusal expired = harness.refused(harness.call("k"));
    CHECK(expired.code == result_code::outcome_unknown);
    CHECK(expired.run == execution_state::run);
    CHECK(harness.tool_calls.size() == 1);
}

TEST_CASE("requests that would let the state grow without limit are refused")
{
    cluster shared;
    owner_settings settings;
    settings.max_turn_bytes = 100;
    settings.max_unflushed_bytes = 2000;
    owner_harness harness(shared, "a", settings);
    harness.take_over().open();
    CHECK(harness.refused(harness.begin(1, R"({"content":")" + std::string(200, 'x') + "\"}")).code ==
          result_code::too_large);
    harness.mode = kv_mode::down;
    refusal reason;
    for (std::uint64_t n = 1; n < 20 && reason.code != result_code::platform_unavailable; ++n) {
        reason = harness.refused(harness.turn(n, hello));
    }
    CHECK(reason.code == result_code::platform_unavailable);
    CHECK(reason.run == execution_state::not_run);
}

// A takeover can start before the successor has detected the failure itself. If it chose the failed owner as a backup,
// a second failure would block the next takeover.
TEST_CASE("the replaced owner is not chosen as a backup until the successor can detect its failure")
{
    owner_settings settings;
    settings.self = {"c", "c:1"};
    settings.failure_domain = "z3";
    backup_set backups(settings);
    backups.set_peers({{{"a", "a:1"}, 5, "z1"}, {{"b", "b:1"}, 5, "z2"}});
    const timestamp until = std::chrono::seconds(10);
    const backup_ref a{"a", "a:1", 5};
    const backup_ref b{"b", "b:1", 5};
    CHECK(backups.choose({}, timestamp{0}) == std::vector{a, b});
    backups.exclude(a, until);
    CHECK(backups.choose({}, timestamp{0}) == std::vector{b});
    CHECK(backups.choose({}, until) == std::vector{a, b});
    backups.set_peers({{{"a", "a:1"}, 6, "z1"}, {{"b", "b:1"}, 5, "z2"}});
    CHECK(backups.choose({}, timestamp{0}) == std::vector{backup_ref{"a", "a:1", 6}, b});
}
