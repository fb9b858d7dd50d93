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

nlohmann::json state_of(owner_harness& rig, const std::string& program = "0-a")
{
    const request_id request = rig.ask(query_program{0, program, "acc"});
    REQUIRE(rig.ok(request) != nullptr);
    return nlohmann::json::parse(rig.ok(request)->payload);
}

} // namespace

TEST_CASE("a repeated turn returns the stored answer without a second engine call; other numbers are refused")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    const request_id first = rig.turn(1, hello);
    REQUIRE(rig.ok(first) != nullptr);
    CHECK(rig.ok(first)->payload == yes);
    const request_id again = rig.begin(1, R"({ "role":"user", "content":"hello", "name":null })");
    CHECK(rig.ok(again)->payload == yes);
    CHECK(rig.engine_calls.size() == 1);
    CHECK(rig.refused(rig.begin(1, more)).code == result_code::turn_conflict);
    CHECK(rig.refused(rig.begin(3, more)).code == result_code::turn_out_of_order);
    CHECK(rig.refused(rig.begin(2, "not json")).code == result_code::malformed);
    const request_id running = rig.begin(2, more);
    CHECK_FALSE(rig.answered(running));
    CHECK(rig.refused(rig.begin(2, more)).code == result_code::turn_in_progress);
    CHECK(rig.engine_calls.back().messages == std::vector<std::string>{hello, yes, more});
    CHECK(rig.refused(rig.ask(begin_turn{0, "0-a", "other", 3, false, {hello}, 5, {}, shared.now + 1000 * ms})).code ==
          result_code::unauthorized);
}

TEST_CASE("a full list of messages is checked against the digest chain, so that a changed history is refused")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.turn(1, hello);
    const auto full = [&](std::uint64_t number, std::vector<std::string> messages) {
        return rig.ask(begin_turn{0, "0-a", "acc", number, true, std::move(messages), 5, {}, shared.now + 1000 * ms});
    };
    CHECK(rig.refused(full(2, {R"({"content":"hullo","role":"user"})", yes, more})).code == result_code::turn_conflict);
    CHECK(rig.refused(full(2, {hello, yes})).code == result_code::malformed);
    CHECK(rig.refused(full(0, {hello, yes, more, yes, more})).code == result_code::turn_conflict);
    CHECK(rig.ok(full(0, {hello}))->turn == 1);
    const std::string echoed = R"({"role":"assistant","content":"yes","refusal":null})";
    CHECK(rig.refused(full(1, {echoed, hello})).code == result_code::turn_conflict);
    CHECK_FALSE(rig.answered(full(0, {R"({"role":"user","content":"hello"})", echoed, more})));
    CHECK(rig.engine_calls.back().turn == 2);
    CHECK(rig.engine_calls.back().messages == std::vector<std::string>{hello, yes, more});
}

TEST_CASE("answers of earlier calls and of other epochs are dropped and counted")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.turn(1, hello);
    rig.complete(rig.engine_calls.front(), R"({"content":"late"})");
    const request_id second = rig.begin(2, more);
    rig.complete(rig.engine_calls.front(), R"({"content":"late"})");
    start_engine_call stale = rig.engine_calls.back();
    stale.epoch = 0;
    rig.complete(stale);
    CHECK_FALSE(rig.answered(second));
    CHECK(rig.owner().counters().stale_results == 3);
}

TEST_CASE("a turn is answered after every backup, after one of them and 50 ms, and otherwise refused as not stored")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    REQUIRE(rig.ok(rig.turn(1, hello)) != nullptr);
    shared.unreachable = {"b2"};
    const request_id one = rig.turn(2, hello);
    CHECK_FALSE(rig.answered(one));
    rig.advance(50 * ms);
    CHECK(rig.ok(one) != nullptr);
    rig.set_peers({{"b1"}, {"b2", 1, true}});
    CHECK(rig.ok(rig.turn(3, hello)) != nullptr);

    shared.unreachable = {"b1", "b2"};
    rig.mode = kv_mode::down;
    const request_id none = rig.turn(4, hello);
    rig.advance(1999 * ms);
    CHECK_FALSE(rig.answered(none));
    rig.advance(ms);
    CHECK(rig.refused(none).code == result_code::not_stored);
    CHECK(rig.refused(none).run == run_state::run);
    CHECK(state_of(rig).at("turns") == 3);
    const refusal next = rig.refused(rig.begin(5, more));
    CHECK(next.code == result_code::not_stored);
    CHECK(next.run == run_state::not_run);
    shared.unreachable.clear();
    rig.advance(1000 * ms);
    CHECK(rig.ok(rig.begin(4, hello)) != nullptr);
    CHECK(rig.engine_calls.size() == 4);
}

TEST_CASE("without any backup a turn is stored once the key-value service has its entry and its text")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.set_peers({});
    rig.take_over().open();
    rig.advance(1000 * ms);
    const request_id request = rig.begin(1, hello);
    rig.advance(1000 * ms);
    REQUIRE(rig.engine_calls.size() == 1);
    rig.complete(rig.engine_calls.back());
    CHECK_FALSE(rig.answered(request));
    rig.advance(1500 * ms);
    CHECK(rig.ok(request) != nullptr);
}

TEST_CASE("an irreversible call is sent only after its intent is confirmed, and its key answers repetitions")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.advance(2000 * ms);
    rig.mode = kv_mode::hold;
    const request_id first = rig.call("k");
    CHECK(rig.held.size() == 1);
    CHECK(rig.tool_calls.empty());
    rig.release_kv();
    REQUIRE(rig.tool_calls.size() == 1);
    CHECK(rig.tool_calls.front().epoch == rig.owner().epoch());
    const refusal running = rig.refused(rig.call("k"));
    CHECK(running.run == run_state::outcome_unknown);
    rig.finish(rig.tool_calls.front(), call_status::completed, "paid");
    CHECK(rig.ok(first)->payload == "paid");
    CHECK(rig.ok(rig.call("k"))->payload == "paid");
    CHECK(rig.ok(rig.ask(query_call{0, "0-a", "acc", "k"}))->payload == "paid");
    CHECK(rig.refused(rig.ask(query_call{0, "0-a", "acc", "other"})).code == result_code::key_missing);
    CHECK(
        rig.refused(rig.ask(begin_call{0, "0-a", "acc", true, "k", "pay", "{\"other\":1}", 1, shared.now + 1000 * ms}))
            .code == result_code::key_conflict);
    CHECK(rig.refused(rig.call("")).code == result_code::key_missing);
    CHECK(rig.tool_calls.size() == 1);
}

TEST_CASE("an intent that is not confirmed in time is refused as not run and never sent, even if it takes effect later")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.advance(2000 * ms);
    rig.mode = kv_mode::hold;
    const request_id request = rig.call("k");
    rig.advance(2000 * ms);
    CHECK(rig.refused(request).code == result_code::platform_unavailable);
    CHECK(rig.refused(request).run == run_state::not_run);
    // Known to be down: refused at once, without another intent.
    CHECK(rig.refused(rig.call("k2")).code == result_code::platform_unavailable);
    rig.release_kv();
    rig.advance(2000 * ms);
    CHECK(rig.tool_calls.empty());
    // The abandoned key is free again.
    CHECK_FALSE(rig.answered(rig.call("k")));
    CHECK(rig.tool_calls.size() == 1);
}

TEST_CASE("a lost reply to the write of an intent does not send the call twice or report it as not run")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.advance(2000 * ms);
    rig.mode = kv_mode::lose_reply;
    const request_id request = rig.call("k");
    rig.advance(200 * ms);
    CHECK(rig.tool_calls.size() == 1);
    rig.finish(rig.tool_calls.front(), call_status::completed);
    CHECK(rig.ok(request) != nullptr);
}

TEST_CASE("a call that was never sent is not run, and a lost answer is outcome unknown and not repeated")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    const request_id unsent = rig.call("k");
    rig.finish(rig.tool_calls.back(), call_status::not_sent, "connection refused");
    CHECK(rig.refused(unsent).code == result_code::target_failed);
    CHECK(rig.refused(unsent).run == run_state::not_run);
    const request_id second = rig.call("k");
    rig.finish(rig.tool_calls.back(), call_status::unknown, "timeout");
    CHECK(rig.refused(second).code == result_code::outcome_unknown);
    CHECK(rig.refused(rig.call("k")).code == result_code::outcome_unknown);
    CHECK(rig.tool_calls.size() == 2);
}

TEST_CASE("a result that arrives after the deadline is recorded, and answers later queries")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.deadline = 1000 * ms;
    const request_id request = rig.call("k");
    rig.advance(1000 * ms);
    CHECK(rig.refused(request).code == result_code::outcome_unknown);
    rig.finish(rig.tool_calls.front(), call_status::completed, "paid late");
    CHECK(rig.ok(rig.ask(query_call{0, "0-a", "acc", "k"}))->payload == "paid late");
    CHECK(rig.refused(request).code == result_code::outcome_unknown);
}

TEST_CASE("an idempotent call is repeated within its attempts, and continues while the key-value service is down")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.advance(2000 * ms);
    rig.mode = kv_mode::down;
    const request_id request = rig.call("", false);
    rig.finish(rig.tool_calls.back(), call_status::unknown);
    rig.advance(100 * ms);
    REQUIRE(rig.tool_calls.size() == 2);
    rig.finish(rig.tool_calls.front(), call_status::completed, "of the first attempt");
    CHECK_FALSE(rig.answered(request));
    rig.finish(rig.tool_calls.back(), call_status::completed, "second");
    CHECK(rig.ok(request)->payload == "second");
    CHECK(rig.ok(rig.turn(1, hello)) != nullptr);
    CHECK(rig.refused(rig.call("k")).code == result_code::ok);
    rig.advance(2000 * ms);
    CHECK(rig.tool_calls.size() == 2);
}

TEST_CASE("a long result is kept as a text and survives a takeover")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.call("k");
    const std::string result(5000, 'r');
    rig.finish(rig.tool_calls.back(), call_status::completed, result);
    owner_harness successor(shared, "c");
    successor.take_over();
    CHECK(successor.ok(successor.call("k"))->payload == result);
    CHECK(successor.tool_calls.empty());
}

TEST_CASE("a successor continues turns from the copies, reports sent calls as unknown and never repeats them")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.turn(1, hello);
    rig.call("k");
    rig.turn(2, more);
    owner_harness successor(shared, "c");
    successor.take_over();
    REQUIRE(successor.owner().phase() == owner_phase::ready);
    CHECK(successor.refused(successor.call("k")).code == result_code::outcome_unknown);
    CHECK(successor.ok(successor.begin(2, more)) != nullptr);
    successor.begin(3, more);
    CHECK(successor.engine_calls.back().messages == std::vector<std::string>{hello, yes, more, yes, more});
    CHECK(successor.tool_calls.empty());

    // The former owner learns from its backups that it was replaced.
    const request_id late = rig.turn(3, hello);
    CHECK(rig.refused(late).run == run_state::run);
    CHECK(rig.lost);
    CHECK(rig.refused(rig.begin(3, hello)).run == run_state::not_run);
}

TEST_CASE("a backup that does not answer blocks the takeover until the instance list no longer holds it")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.turn(1, hello);
    shared.unreachable = {"b2"};
    owner_harness successor(shared, "c");
    successor.take_over();
    successor.advance(10000 * ms);
    CHECK(successor.owner().phase() == owner_phase::taking_over);
    const refusal waiting = successor.refused(successor.begin(2, more));
    CHECK(waiting.code == result_code::program_unavailable);
    CHECK(waiting.run == run_state::not_run);
    CHECK(waiting.retry_after_ms > 0);
    successor.set_peers({{"b1"}, {"b2", 1, true, false}});
    successor.advance(1000 * ms);
    CHECK(successor.owner().phase() == owner_phase::ready);
}

TEST_CASE("after the loss of the owner and a copy no program continues from an older turn, also after a later takeover")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.turn(1, hello);
    rig.call("k");
    rig.finish(rig.tool_calls.back(), call_status::completed, "paid");
    // Only b2 acknowledges turn 2 before it is lost with the owner.
    shared.unreachable = {"b1"};
    const request_id acknowledged = rig.turn(2, more);
    rig.advance(60 * ms);
    REQUIRE(rig.ok(acknowledged) != nullptr);
    shared.unreachable.clear();
    shared.restart("b2", 2);
    for (const char* id : {"c", "d"}) {
        owner_harness successor(shared, id);
        successor.set_peers({{"b1"}, {"b2", 2}});
        successor.take_over();
        REQUIRE(successor.owner().phase() == owner_phase::ready);
        const refusal reason = successor.refused(successor.begin(2, hello));
        CHECK(reason.code == result_code::program_unavailable);
        CHECK(reason.run == run_state::not_run);
        CHECK(reason.retry_after_ms == 0);
        CHECK(state_of(successor).at("state") == "unavailable");
        CHECK(successor.ok(successor.call("k")) != nullptr);
        CHECK(successor.refused(successor.call("k2")).code == result_code::program_unavailable);
        successor.open("0-" + std::string(id));
        CHECK(successor.ok(successor.turn(1, hello, "0-" + std::string(id))) != nullptr);
    }
}

TEST_CASE("a text that does not match its digest is never served, and its program is unavailable, not shortened")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.turn(1, hello);
    // Both copies hold another answer under the recorded digest, as after a memory fault.
    fetch_reply copy = shared.stores.at("b1")->fetch({0, rig.owner().epoch(), 0});
    for (log_item& it : copy.items) {
        if (it.text && std::holds_alternative<turn_text>(*it.text)) {
            turn_text changed = std::get<turn_text>(*it.text);
            changed.answer = R"({"content":"no"})";
            it.text = std::make_shared<const stored_text>(changed);
        }
    }
    replicate_request forged{0, 1, rig.owner().epoch(), 99, true, 0, 0, copy.items};
    CHECK(shared.stores.at("b1")->replicate(forged).status == replicate_status::gap);
    shared.unreachable = {"b1", "b2"};
    owner_harness successor(shared, "c");
    successor.take_over();
    for (const char* id : {"b1", "b2"}) {
        successor.handle(fetch_reply{0, id, 1, successor.owner().epoch(), 0, false, 1, copy.last, copy.items});
    }
    REQUIRE(successor.owner().phase() == owner_phase::ready);
    CHECK(successor.owner().counters().digest_mismatches > 0);
    CHECK(successor.refused(successor.begin(1, hello)).code == result_code::program_unavailable);
}

TEST_CASE("a backup that is gone is replaced by an append, and both lists count until it is confirmed")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.turn(1, hello);
    rig.advance(3000 * ms);
    rig.mode = kv_mode::hold;
    rig.set_peers({{"b1"}, {"b2", 1, true, false}, {"b3"}});
    REQUIRE(rig.held.size() == 1);
    // Only b3, which is not in the confirmed list, acknowledges.
    shared.unreachable = {"b1"};
    const request_id request = rig.turn(2, hello);
    rig.advance(100 * ms);
    CHECK_FALSE(rig.answered(request));
    rig.release_kv();
    rig.advance(100 * ms);
    CHECK(rig.ok(request) != nullptr);
    const head_record head = *decode_head(shared.kv.entries().at("partition/0").value);
    CHECK(head.backups == std::vector<backup_ref>{{"b1", "b1", 1}, {"b3", "b3", 1}});
}

TEST_CASE("a restarted backup is not taken for one that has the data")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.mode = kv_mode::down;
    shared.unreachable = {"b1"};
    shared.restart("b2", 2);
    const request_id request = rig.turn(1, hello);
    rig.advance(1000 * ms);
    CHECK_FALSE(rig.answered(request));
    rig.advance(1000 * ms);
    CHECK(rig.refused(request).code == result_code::not_stored);
}

TEST_CASE("budget is marked ahead of use in chunks, limits hold, and a crash only overcounts")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open("0-a", {100000, 8, 100});
    for (int n = 1; n <= 3; ++n) {
        CHECK(rig.ok(rig.turn(static_cast<std::uint64_t>(n), hello)) != nullptr);
    }
    owner_harness successor(shared, "c");
    successor.take_over();
    CHECK(state_of(successor).at("spent").at("calls") == 4);
    for (int n = 4; n <= 7; ++n) {
        CHECK(successor.ok(successor.turn(static_cast<std::uint64_t>(n), hello)) != nullptr);
    }
    const refusal reason = successor.refused(successor.begin(8, hello));
    CHECK(reason.code == result_code::budget_exhausted);
    CHECK(reason.run == run_state::not_run);
}

TEST_CASE("a mark that no backup acknowledges keeps the turn from running")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.mode = kv_mode::down;
    shared.unreachable = {"b1", "b2"};
    const request_id request = rig.begin(1, hello);
    rig.advance(2000 * ms);
    CHECK(rig.engine_calls.empty());
    CHECK(rig.refused(request).code == result_code::not_stored);
    CHECK(rig.refused(request).run == run_state::not_run);
    CHECK(rig.refused(rig.begin(1, hello)).code == result_code::not_stored);
}

TEST_CASE("a child takes a share of its parent's budget and returns the rest when it ends")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open("0-a", {1000, 10, 100});
    rig.open("0-c", {800, 4, 50}, "0-a");
    rig.turn(1, hello, "0-c");
    CHECK(rig.refused(rig.ask(open_program{0, "0-d", "0-a", "acc", "svc", {500, 1, 1}, 4})).code ==
          result_code::budget_exhausted);
    CHECK(state_of(rig).at("spent").at("calls") == 4);
    rig.ask(end_program{0, "0-c", "acc", "done"});
    CHECK(state_of(rig).at("spent").at("calls") == 1);
    CHECK(rig.released == std::vector<std::string>{"0-c"});
    CHECK(rig.refused(rig.begin(2, hello, "0-c")).code == result_code::program_ended);
    owner_harness successor(shared, "c");
    successor.take_over();
    CHECK(state_of(successor).at("spent").at("calls") == 1);
    CHECK(successor.released == std::vector<std::string>{"0-c"});
}

TEST_CASE("an end cancels the running turn, ends children, and a failed or cut answer does not advance the program")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.open("0-c", {100, 2, 10}, "0-a");
    const request_id cut = rig.begin(1, hello);
    rig.handle(engine_failed{rig.engine_calls.back().call, rig.owner().epoch(), result_code::answer_cut, run_state::run,
                             "stream ended", 0, "t1"});
    CHECK(rig.refused(cut).code == result_code::answer_cut);
    CHECK(state_of(rig).at("turns") == 0);
    const request_id running = rig.begin(1, hello);
    const request_id end = rig.ask(end_program{0, "0-a", "acc", "stop"});
    CHECK(rig.ok(end) != nullptr);
    CHECK(rig.refused(running).run == run_state::outcome_unknown);
    CHECK(rig.cancelled.size() == 1);
    CHECK(state_of(rig, "0-c").at("state") == "ended");
}

TEST_CASE("a turn that passes its deadline is cancelled and answered, so that no caller waits for ever")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.deadline = 500 * ms;
    const request_id request = rig.begin(1, hello);
    rig.advance(500 * ms);
    CHECK(rig.refused(request).code == result_code::deadline_exceeded);
    CHECK(rig.refused(request).run == run_state::outcome_unknown);
    CHECK(rig.cancelled.size() == 1);
    CHECK(rig.ok(rig.turn(1, hello)) != nullptr);
}

TEST_CASE("a handover finishes the running turn, refuses new work, and does not overcount the budget")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.turn(1, hello);
    const request_id running = rig.begin(2, more);
    rig.handle(start_handover{{"c", "c:1"}});
    CHECK(rig.refused(rig.call("k")).code == result_code::stopping);
    CHECK_FALSE(rig.lost);
    rig.complete(rig.engine_calls.back());
    CHECK(rig.ok(running) != nullptr);
    REQUIRE(rig.lost);
    CHECK(rig.lost->reason == loss_reason::handed_over);
    CHECK(rig.refused(rig.begin(3, hello)).code == result_code::moved);
    CHECK(rig.refused(rig.begin(3, hello)).owner_address == "c:1");
    owner_harness successor(shared, "c");
    shared.unreachable = {"b1", "b2"};
    successor.take_over();
    CHECK(successor.owner().phase() == owner_phase::ready);
    CHECK(state_of(successor).at("spent").at("calls") == 2);
    CHECK(state_of(successor).at("turns") == 2);
}

TEST_CASE("an ended program and old results leave the record after the retention time, while used keys stay used")
{
    cluster shared;
    owner_harness rig(shared, "a");
    rig.take_over().open();
    rig.open("0-b");
    rig.call("k");
    rig.finish(rig.tool_calls.back(), call_status::completed, "paid");
    rig.ask(end_program{0, "0-b", "acc", "done"});
    for (int n = 0; n < 13; ++n) {
        rig.advance(60000 * ms);
    }
    CHECK(rig.refused(rig.ask(query_program{0, "0-b", "acc"})).code == result_code::unknown_program);
    const refusal expired = rig.refused(rig.call("k"));
    CHECK(expired.code == result_code::outcome_unknown);
    CHECK(expired.run == run_state::run);
    CHECK(rig.tool_calls.size() == 1);
}

TEST_CASE("requests that would make the state grow without bound are refused")
{
    cluster shared;
    owner_settings settings;
    settings.max_turn_bytes = 100;
    settings.max_unflushed_bytes = 2000;
    owner_harness rig(shared, "a", settings);
    rig.take_over().open();
    CHECK(rig.refused(rig.begin(1, R"({"content":")" + std::string(200, 'x') + "\"}")).code == result_code::too_large);
    rig.mode = kv_mode::down;
    refusal reason;
    for (std::uint64_t n = 1; n < 20 && reason.code != result_code::platform_unavailable; ++n) {
        reason = rig.refused(rig.turn(n, hello));
    }
    CHECK(reason.code == result_code::platform_unavailable);
    CHECK(reason.run == run_state::not_run);
}

// The successor may be asked to take over before it has noticed the failure itself. With the failed owner in its list
// of backups, a second failure would block the next takeover.
TEST_CASE("the replaced owner is no backup until the successor can judge it")
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
    backups.avoid(a, until);
    CHECK(backups.choose({}, timestamp{0}) == std::vector{b});
    CHECK(backups.choose({}, until) == std::vector{a, b});
    backups.set_peers({{{"a", "a:1"}, 6, "z1"}, {{"b", "b:1"}, 5, "z2"}});
    CHECK(backups.choose({}, timestamp{0}) == std::vector{backup_ref{"a", "a:1", 6}, b});
}
