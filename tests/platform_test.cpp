#include "running_standin.h"

#include "answer_script.h"
#include "engine_server.h"
#include "instances_server.h"
#include "kv_server.h"
#include "tool_server.h"
#include "weights_server.h"

#include "backends/completion_reader.h"
#include "backends/http_connection.h"
#include "backends/http_engine_client.h"
#include "backends/http_instance_list.h"
#include "backends/http_kv_leases.h"
#include "backends/http_kv_store.h"
#include "backends/http_kv_watch.h"
#include "backends/http_tool_client.h"
#include "backends/http_weight_store.h"
#include "backends/sse_parser.h"

#include <doctest/doctest.h>

#include <future>
#include <thread>

using namespace lagoonferry;
using namespace lagoonferry::standin;
using namespace std::chrono_literals;
using lagoonferry::test::running_standin;

namespace {

// Timeout of calls that must succeed; long enough for a busy machine.
constexpr auto long_timeout = 20'000ms;

// Timeout of calls that must time out.
constexpr auto short_timeout = 100ms;

engine_options fast_engine(std::size_t batch = 16)
{
    engine_options options;
    options.limits = {2'000, 1'000'000, batch, 200'000};
    options.report_lag = 0ms;
    return options;
}

nlohmann::json user_message(const std::string& text)
{
    return nlohmann::json::array({{{"role", "user"}, {"content", text}}});
}

engine_call call_of(const std::string& address, const std::string& program, const std::string& text)
{
    engine_call call;
    call.address = address;
    call.call_id = program + "-call";
    call.program = program;
    call.messages = user_message(text).dump();
    call.connect_timeout = long_timeout;
    call.idle_timeout = long_timeout;
    call.total_timeout = long_timeout;
    return call;
}

tool_call tool_call_of(const std::string& address, std::chrono::milliseconds deadline)
{
    tool_call call;
    call.address = address;
    call.name = "book";
    call.call_id = "call-1";
    call.idempotency_key = "key-1";
    call.arguments = R"({"boat":8})";
    call.deadline = deadline;
    return call;
}

nlohmann::json get_json(const std::string& address, const std::string& path)
{
    http_connection connection(address);
    return nlohmann::json::parse(connection.send({"GET", path, {}, {}}, http_timeouts::all(long_timeout)).body);
}

} // namespace

TEST_CASE("a write is reported as unavailable only if it had no effect")
{
    running_standin<kv_server> kv(kv_limits{});
    call_counts counts;
    http_kv_store store(kv.address(), long_timeout, counts);

    kv.add_fault({{"outage", true}, {"method", "PUT"}, {"path", "/kv/"}, {"count", 1}});
    CHECK(store.compare_and_swap("a", 0, "x").status == kv_status::unavailable);
    CHECK(store.get("a").entry.version == 0);
    CHECK(store.compare_and_swap("a", 0, std::string(1'000'001, 'x')).status == kv_status::unavailable);
    CHECK(store.compare_and_swap("a", 0, std::string(1'000'000, 'x')).status == kv_status::ok);

    http_kv_store impatient_store(kv.address(), short_timeout, counts);
    kv.add_fault({{"hang", true}, {"method", "PUT"}, {"path", "/kv/"}, {"count", 1}});
    CHECK(impatient_store.compare_and_swap("b", 0, "x").status == kv_status::unknown);
    CHECK(counts.count(call_kind::kv_write, call_end::no_reply) == 1);

    kv.stop();
    CHECK(store.compare_and_swap("a", 1, "x").status != kv_status::ok);
    CHECK(store.compare_and_swap("a", 1, "x").status == kv_status::unavailable);
    CHECK(store.get("a").status == kv_status::unavailable);
    CHECK_FALSE(store.list("").has_value());
    CHECK(counts.count(call_kind::kv_write, call_end::not_sent) >= 1);
}

TEST_CASE("a write whose response is lost is reported as unknown and can be read back")
{
    running_standin<kv_server> kv(kv_limits{});
    call_counts counts;
    http_kv_store store(kv.address(), long_timeout, counts);

    kv.add_fault({{"lose_reply", true}, {"method", "PUT"}, {"path", "/kv/partition/1"}, {"count", 1}});
    CHECK(store.compare_and_swap("partition/1", 0, "mine").status == kv_status::unknown);
    CHECK(store.get("partition/1").entry.value == "mine");
    CHECK(store.compare_and_swap("partition/1", 0, "theirs").status == kv_status::conflict);

    kv.add_fault({{"lose_reply", true}, {"method", "DELETE"}, {"count", 1}});
    CHECK(store.erase("partition/1", 1).status == kv_status::unknown);
    CHECK(store.get("partition/1").entry.version == 0);
}

TEST_CASE("versions are not reused after a key is erased")
{
    running_standin<kv_server> kv(kv_limits{});
    call_counts counts;
    http_kv_store store(kv.address(), long_timeout, counts);

    const auto first = store.compare_and_swap("k/ä?#%", 0, "1");
    CHECK(first.status == kv_status::ok);
    CHECK(store.erase("k/ä?#%", first.version + 1).status == kv_status::conflict);
    CHECK(store.erase("k/ä?#%", first.version).status == kv_status::ok);
    const auto second = store.compare_and_swap("k/ä?#%", 0, "2");
    CHECK(second.version > first.version);
    CHECK(store.compare_and_swap("k/ä?#%", first.version, "stale").version == second.version);
    CHECK(store.list("k/") == std::vector<std::string>{"k/ä?#%"});
}

TEST_CASE("a watch reports the latest change of each key and can be interrupted")
{
    running_standin<kv_server> kv(kv_limits{});
    call_counts counts;
    http_kv_store store(kv.address(), long_timeout, counts);
    http_kv_watch watch(kv.address(), long_timeout, counts);

    auto waiting = std::async(std::launch::async, [&] { return watch.wait("doc/", 0, long_timeout); });
    CHECK(store.compare_and_swap("other", 0, "x").status == kv_status::ok);
    const auto written = store.compare_and_swap("doc/a", 0, "x");
    const auto seen = waiting.get();
    REQUIRE(seen);
    REQUIRE(seen->changes.size() == 1);
    CHECK(seen->changes[0].key == "doc/a");
    CHECK(seen->position == written.version);

    CHECK(store.erase("doc/a", written.version).status == kv_status::ok);
    const auto erased = watch.wait("doc/", seen->position, long_timeout);
    REQUIRE(erased);
    CHECK(erased->changes.at(0).erased);

    auto pending_wait =
        std::async(std::launch::async, [&] { return watch.wait("doc/", erased->position, long_timeout); });
    watch.interrupt();
    CHECK_FALSE(pending_wait.get().has_value());
}

TEST_CASE("revoking a lease erases its keys and prevents further writes with the lease")
{
    running_standin<kv_server> kv(kv_limits{});
    call_counts counts;
    http_kv_store store(kv.address(), long_timeout, counts);
    http_kv_leases leases(kv.address(), long_timeout, counts);

    const auto lease = leases.grant(long_timeout);
    REQUIRE(lease);
    CHECK(leases.compare_and_swap("live/a", 0, "x", *lease).status == kv_status::ok);
    CHECK(leases.renew(*lease) == kv_status::ok);
    CHECK(leases.revoke(*lease) == kv_status::ok);
    CHECK(store.get("live/a").entry.version == 0);
    CHECK(leases.renew(*lease) == kv_status::conflict);
    CHECK(leases.compare_and_swap("live/a", 0, "x", *lease).status == kv_status::conflict);
}

TEST_CASE("a tool call ends as not_sent, no_reply or answered, and runs once if its response is lost")
{
    running_standin<tool_server> tool(tool_server::delay_map{});
    call_counts counts;
    http_tool_client client(8, counts);

    tool.add_fault({{"lose_reply", true}, {"path", "/call/book"}, {"count", 1}});
    CHECK(client.call(tool_call_of(tool.address(), long_timeout)).end == call_end::no_reply);
    CHECK(get_json(tool.address(), "/executions")["by_key"]["key-1"] == 1);

    tool.add_fault({{"hang", true}, {"path", "/call/book"}, {"count", 1}});
    CHECK(client.call(tool_call_of(tool.address(), short_timeout)).end == call_end::no_reply);
    CHECK(get_json(tool.address(), "/executions")["by_call"]["call-1"] == 1);
    tool.clear_faults();

    const tool_result result = client.call(tool_call_of(tool.address(), long_timeout));
    CHECK(result.end == call_end::answered);
    CHECK(nlohmann::json::parse(result.body)["result"]["boat"] == 8);
    CHECK(get_json(tool.address(), "/executions")["by_call"]["call-1"] == 2);

    tool.stop();
    const tool_result refused = client.call(tool_call_of(tool.address(), long_timeout));
    CHECK(refused.end != call_end::answered);
    CHECK(client.call(tool_call_of(tool.address(), long_timeout)).end == call_end::not_sent);
    CHECK(client.call(tool_call_of("no address", long_timeout)).end == call_end::not_sent);
}

TEST_CASE("a stale fencing token is refused only within its scope, and not by a target that ignores tokens")
{
    running_standin<tool_server> tool(tool_server::delay_map{});
    call_counts counts;
    http_tool_client client(8, counts);
    tool_call call = tool_call_of(tool.address(), long_timeout);

    call.fence = {"p1", 7};
    CHECK(client.call(call).http_status == 200);
    call.fence = {"p2", 3};
    CHECK(client.call(call).http_status == 200);
    call.fence = {"p1", 6};
    CHECK(client.call(call).http_status == 409);
    tool.add_fault({{"ignore_fence", true}});
    CHECK(client.call(call).http_status == 200);
    tool.add_fault({{"refuse_fence", true}});
    call.fence = {"p1", 8};
    CHECK(client.call(call).http_status == 409);
}

TEST_CASE("concurrent streams each receive the complete answer to their own history")
{
    running_standin<engine_server> engine(fast_engine());
    call_counts counts;
    http_engine_client client(64, counts);
    std::vector<std::future<bool>> streams;
    for (int n = 0; n < 24; ++n) {
        streams.push_back(std::async(std::launch::async, [&, n] {
            const std::string text = "say 20 tokens\nprogram " + std::to_string(n);
            const engine_answer answer = client.stream(call_of(engine.address(), std::to_string(n), text), {});
            return answer.end == stream_end::complete && answer.text == answer_text(user_message(text), 20) &&
                   answer.tokens_received == 20 && answer.usage.completion_tokens == 20;
        }));
    }
    CHECK(std::ranges::all_of(streams, [](std::future<bool>& it) { return it.get(); }));
    CHECK(counts.count(call_kind::engine_stream, call_end::answered) == 24);
}

TEST_CASE("a cut stream is reported and can be resumed on another engine")
{
    running_standin<engine_server> first(fast_engine());
    running_standin<engine_server> second(fast_engine());
    call_counts counts;
    http_engine_client client(8, counts);
    engine_call call = call_of(first.address(), "p", "say 9 tokens");

    first.add_fault({{"cut_after_tokens", 4}});
    const engine_answer cut = client.stream(call, {});
    CHECK(cut.end == stream_end::cut);
    CHECK(cut.tokens_received == 4);
    CHECK(counts.count(call_kind::engine_stream, call_end::no_reply) == 1);

    call.address = second.address();
    call.resume_text = cut.text;
    call.resume_tokens = cut.tokens_received;
    const engine_answer rest = client.stream(call, {});
    CHECK(rest.end == stream_end::complete);
    CHECK(rest.usage.completion_tokens == 5);
    CHECK(cut.text + rest.text == answer_text(user_message("say 9 tokens"), 9));

    call.resume_text = "bad bad bad bad ";
    CHECK(client.stream(call, {}).end == stream_end::refused);
}

TEST_CASE("a failed stream ends as not_sent, refused, no_answer or cut")
{
    running_standin<engine_server> engine(fast_engine());
    call_counts counts;
    http_engine_client client(1, counts);
    engine_call call = call_of(engine.address(), "p", "say 9 tokens");

    engine.add_fault({{"outage", true}, {"count", 1}});
    const engine_answer refused = client.stream(call, {});
    CHECK(refused.end == stream_end::refused);
    CHECK(refused.http_status == 503);

    engine.add_fault({{"lose_reply", true}, {"count", 1}});
    CHECK(client.stream(call, {}).end == stream_end::no_answer);

    call.idle_timeout = short_timeout;
    engine.add_fault({{"hang", true}, {"count", 1}});
    CHECK(client.stream(call, {}).end == stream_end::no_answer);
    engine.add_fault({{"slow_factor", 1e9}});
    CHECK(client.stream(call, {}).end == stream_end::cut);
    engine.clear_faults();

    call.idle_timeout = long_timeout;
    engine_answer answer_beyond_limit;
    CHECK(client
              .stream(call,
                      [&](std::string_view) {
                          answer_beyond_limit = client.stream(call, {});
                          return false;
                      })
              .end == stream_end::cancelled);
    CHECK(answer_beyond_limit.end == stream_end::not_sent);

    engine.stop();
    client.stream(call, {});
    CHECK(client.stream(call, {}).end == stream_end::not_sent);
}

TEST_CASE("a cancelled call frees its batch slot, whichever client cancels it")
{
    engine_options options = fast_engine(1);
    options.limits.decode_tokens_per_second = 20; // the long call would exceed the timeout
    running_standin<engine_server> engine(options);
    call_counts counts;
    http_engine_client client(8, counts);
    http_engine_client other(8, counts);
    for (http_engine_client* canceller : {&client, &other}) {
        std::promise<void> started;
        std::once_flag once;
        auto running = std::async(std::launch::async, [&] {
            return client.stream(call_of(engine.address(), "long", "say 1000 tokens"), [&](std::string_view) {
                std::call_once(once, [&] { started.set_value(); });
                return true;
            });
        });
        REQUIRE(started.get_future().wait_for(long_timeout) == std::future_status::ready);
        CHECK(canceller->cancel(engine.address(), "long-call", long_timeout) == call_end::answered);
        CHECK(running.get().end == (canceller == &client ? stream_end::cancelled : stream_end::cut));
        CHECK(client.stream(call_of(engine.address(), "next", "say 1 tokens"), {}).end == stream_end::complete);
    }
    CHECK(get_json(engine.address(), "/stats")["cancelled"] == 2);
}

TEST_CASE("a tool call of the model arrives complete, and its result leads to the next rule of the script")
{
    running_standin<engine_server> engine(fast_engine());
    call_counts counts;
    http_engine_client client(8, counts);
    engine_call call = call_of(engine.address(), "p", "call tool book {\"boat\":8}\nsay 2 tokens");
    call.parameters = R"({"temperature":0})";

    const engine_answer first = client.stream(call, {});
    REQUIRE(first.tool_calls.size() == 1);
    CHECK(first.finish_reason == "tool_calls");
    CHECK(first.tool_calls[0].name == "book");
    CHECK(nlohmann::json::parse(first.tool_calls[0].arguments)["boat"] == 8);

    nlohmann::json messages = nlohmann::json::parse(call.messages);
    messages.push_back({{"role", "assistant"}, {"content", nullptr}});
    messages.push_back({{"role", "tool"}, {"tool_call_id", first.tool_calls[0].id}, {"content", "ok"}});
    call.messages = messages.dump();
    const engine_answer second = client.stream(call, {});
    CHECK(second.text == answer_text(messages, 2));
    CHECK(second.finish_reason == "stop");
    CHECK(second.usage.cached_tokens > 0);

    call.max_tokens = 1;
    CHECK(client.stream(call, {}).finish_reason == "length");
}

TEST_CASE("a release empties the engine's cache, and another engine can use an exported prefix")
{
    running_standin<engine_server> engine(fast_engine());
    running_standin<engine_server> target(fast_engine());
    call_counts counts;
    http_engine_client client(8, counts);
    failure reason;
    CHECK(client.stream(call_of(engine.address(), "0-a", "say 3 tokens"), {}).end == stream_end::complete);
    const auto cache_state = client.cache_state(engine.address(), long_timeout, reason);
    REQUIRE(cache_state);
    CHECK(cache_state->programs.at("0-a") == 14); // 4 + 3 tokens of the prompt, 4 + 3 of the answer

    const auto exported = client.export_cache(engine.address(), "0-a", long_timeout, reason);
    REQUIRE(exported);
    CHECK(client.import_cache(target.address(), *exported, long_timeout, reason) == 14);
    CHECK(client.stream(call_of(target.address(), "0-a", "say 3 tokens"), {}).usage.cached_tokens == 7);

    CHECK(client.release(engine.address(), "0-a", long_timeout, reason) == 14);
    CHECK(client.cache_state(engine.address(), long_timeout, reason)->programs.empty());
    CHECK_FALSE(client.export_cache(engine.address(), "0-a", long_timeout, reason).has_value());
    const auto events = client.cache_events(engine.address(), 0, long_timeout, reason);
    REQUIRE(events);
    CHECK(events->events.back().kind == "released");
    CHECK(client.load(engine.address(), long_timeout, reason)->batch_limit == 16);
}

TEST_CASE("an order with a stale fencing token is refused")
{
    running_standin<engine_server> engine(fast_engine());
    call_counts counts;
    http_engine_client client(8, counts);
    CHECK(client.order(engine.address(), {"set_role", "prefill", fencing_token{"g", 5}}, long_timeout).http_status ==
          200);
    const auto stale = client.order(engine.address(), {"set_role", "decode", fencing_token{"g", 4}}, long_timeout);
    CHECK(stale.http_status == 409);
    CHECK(stale.reason.code == result_code::target_failed);
    CHECK(get_json(engine.address(), "/v1/orders").size() == 1);
}

TEST_CASE("a model is loaded on command from the weight store at its rate, and is reported only then")
{
    running_standin<weights_server> store(weights_server::size_map{{"a", 1000}, {"b", 1000}}, 0.0, 4000.0);
    engine_options options = fast_engine();
    options.models = {"c"};
    options.weights = store.address();
    running_standin<engine_server> engine(options);
    call_counts counts;
    http_engine_client client(8, counts);
    failure reason;
    const auto loaded_models = [&] { return *client.load(engine.address(), long_timeout, reason)->models; };
    const auto started = std::chrono::steady_clock::now();
    CHECK(client.order(engine.address(), {"unload_model", "c", {}}, long_timeout).http_status == 200);
    CHECK(loaded_models().empty());
    CHECK(client.order(engine.address(), {"load_model", "a", {}}, long_timeout).http_status == 200);
    CHECK(client.order(engine.address(), {"load_model", "b", {}}, long_timeout).http_status == 200);
    while (loaded_models().size() < 2 && std::chrono::steady_clock::now() - started < std::chrono::seconds(10)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(loaded_models() == std::vector<std::string>{"a", "b"});
    CHECK(std::chrono::steady_clock::now() - started >= std::chrono::milliseconds(500));
}

TEST_CASE("a leaving instance is listed after the lag, and a malformed entry makes the poll fail")
{
    running_standin<instances_server> instances(0ms);
    call_counts counts;
    http_instance_list list(instances.address(), long_timeout, counts);
    nlohmann::json entry{{"kind", "target"}, {"address", "127.0.0.1:1"}, {"failure_domain", "d"}};
    instances.server().put("engine-0", entry);
    instances.add_fault({{"lose_reports", true}});
    entry["state"] = "leaving";
    instances.server().put("engine-0", entry);
    CHECK(list.poll()->at(0).state == instance_state::live);
    instances.clear_faults();
    instances.server().put("engine-0", entry);
    instances.add_fault({{"lag_ms", 3'600'000}, {"path", "/instances"}, {"count", 1}});
    CHECK(list.poll()->empty());
    CHECK(list.poll()->at(0).state == instance_state::leaving);

    entry["kind"] = "boat";
    instances.server().put("engine-1", entry);
    CHECK_FALSE(list.poll().has_value());
    CHECK(list.last_failure().code == result_code::malformed);
}

TEST_CASE("the weight store refuses reads above its rate limit")
{
    running_standin<weights_server> weights(weights_server::size_map{{"m", 10}}, 0.001);
    call_counts counts;
    http_weight_store store(weights.address(), long_timeout, counts);
    CHECK(store.read("m") == "mmmmmmmmmm");
    CHECK_FALSE(store.read("m").has_value());
    CHECK(store.last_failure().code == result_code::overloaded);
}

TEST_CASE("events are parsed across chunk boundaries, and an error event or a malformed event ends the stream")
{
    std::vector<std::string> events;
    sse_parser stream([&](std::string_view data) {
        events.emplace_back(data);
        return true;
    });
    CHECK(stream.feed(": comment\r\ndata: a\r"));
    CHECK(stream.feed("\n\ndata:b\n\nda"));
    CHECK(stream.feed("ta: c\n"));
    CHECK(events == std::vector<std::string>{"a", "b", "c"});

    const engine_client::token_callback ignore;
    completion_reader reader(ignore);
    CHECK_FALSE(reader.read_event(R"({"error":{"message":"out of memory"}})"));
    CHECK(reader.answer().reason.text.find("out of memory") != std::string::npos);
    CHECK_FALSE(reader.read_event(R"({"choices":[)"));
    CHECK_FALSE(reader.read_event(R"({"choices":[{"delta":{"tool_calls":[{"index":4000000000}]}}]})"));
    CHECK_FALSE(reader.complete());
}
