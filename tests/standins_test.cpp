#include "answer_script.h"
#include "engine_core.h"
#include "fault_plan.h"
#include "kv_state.h"
#include "lagged_value.h"
#include "running_standin.h"
#include "token_bucket.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

using namespace lagoonferry;
using namespace lagoonferry::standin;
using namespace std::chrono_literals;

namespace {

/// One token per second; prompts take no time.
constexpr engine_limits slow_limits{1, 1e9, 2, 100};

struct virtual_engine {
    explicit virtual_engine(const engine_limits& limits)
        : core(limits, [this](std::string_view kind, const std::string& program, std::uint64_t tokens) {
              events.push_back(std::string(kind) + " " + program + " " + std::to_string(tokens));
          })
    {
    }

    std::shared_ptr<sequence> submit(timestamp now, const std::string& program, int priority, std::uint32_t tokens,
                                     timestamp pin = timestamp{0})
    {
        engine_job job{program + "-call", program, priority, {{program, 10}}, {"answer", tokens}, 0, tokens, pin};
        return core.submit(now, std::move(job));
    }

    std::vector<std::string> events;
    engine_core core;
};

} // namespace

TEST_CASE("a batch runs its sequences concurrently and starts the next one when a slot is free")
{
    virtual_engine engine(slow_limits);
    const auto a = engine.submit(0s, "a", 2, 3);
    const auto b = engine.submit(0s, "b", 2, 5);
    const auto c = engine.submit(0s, "c", 2, 1);
    engine.core.advance(2'500ms);
    CHECK(a->generated == 2);
    CHECK(b->generated == 2);
    CHECK(c->state == sequence_state::queued);
    engine.core.advance(3'500ms);
    CHECK(a->state == sequence_state::finished);
    CHECK(c->state == sequence_state::running);
    CHECK(engine.core.cancel(3'500ms, "b-call"));
    CHECK_FALSE(engine.core.cancel(3'500ms, "b-call"));
    CHECK(engine.core.load().running == 1);
}

TEST_CASE("urgent calls preempt bulk calls, which later continue with their generated tokens")
{
    virtual_engine engine({1, 1e9, 1, 100});
    const auto bulk = engine.submit(0s, "bulk", 3, 10);
    engine.core.advance(4'500ms);
    const auto urgent = engine.submit(4'500ms, "urgent", 0, 2);
    CHECK(urgent->state == sequence_state::running);
    CHECK(bulk->state == sequence_state::queued);
    const auto same = engine.submit(4'600ms, "same", 0, 1);
    CHECK(same->state == sequence_state::queued);
    engine.core.advance(20s);
    CHECK(urgent->state == sequence_state::finished);
    CHECK(bulk->state == sequence_state::finished);
    CHECK(engine.core.totals().generated_tokens == 13);
    CHECK(engine.core.totals().preempted == 1);
}

TEST_CASE("the cache evicts unpinned prefixes first and drops a pinned one when its pin ends")
{
    virtual_engine engine(slow_limits); // capacity of 100 tokens; each program below occupies 30
    engine.submit(0s, "pinned", 2, 20, 60s);
    engine.core.advance(20s);
    engine.submit(20s, "old", 2, 20);
    engine.core.advance(40s);
    engine.submit(40s, "new", 2, 20);
    engine.core.advance(60s);
    CHECK(engine.core.cache_state().programs.size() == 3);
    engine.submit(60s, "more", 2, 20);
    CHECK_FALSE(engine.core.cache_state().programs.contains("old"));
    CHECK(engine.core.cache_state().programs.contains("pinned"));
    engine.core.advance(80s);
    CHECK_FALSE(engine.core.cache_state().programs.contains("pinned"));
    CHECK(std::ranges::find(engine.events, "expired pinned 30") != engine.events.end());
    CHECK(engine.core.submit(80s, {"x", "x", 0, {{"x", 90}}, {}, 0, 11, {}}) == nullptr);
}

TEST_CASE("a program that is released during its call is not cached at the end of the call")
{
    virtual_engine engine(slow_limits);
    engine.submit(0s, "a", 2, 5);
    engine.core.advance(2s);
    CHECK(engine.core.cache_state().programs.at("a") == 12);
    CHECK(engine.core.release("a") == 0);
    engine.core.advance(6s);
    CHECK(engine.core.cache_state().programs.empty());
    CHECK(engine.core.load().held_tokens == 0);
}

TEST_CASE("each rule of the last user message determines one turn, and a loop never ends")
{
    nlohmann::json messages =
        nlohmann::json::array({{{"role", "user"}, {"content", "plan\ncall tool a {}\nloop tool b {\"n\":1}"}}});
    CHECK(script_answer(messages, 5).call->name == "a");
    messages.push_back({{"role", "tool"}, {"content", "r"}});
    CHECK(script_answer(messages, 5).call->name == "b");
    messages.push_back({{"role", "tool"}, {"content", "r"}});
    CHECK(script_answer(messages, 5).call->arguments == "{\"n\":1}");
    messages.push_back({{"role", "user"}, {"content", "call tool broken {"}});
    CHECK_FALSE(script_answer(messages, 5).call.has_value());
    CHECK(script_answer(messages, 5).tokens == 5);
    CHECK(token_count(answer_text(messages, 7)) == 7);
}

TEST_CASE("a lease that is not renewed expires with its keys")
{
    kv_state kv;
    const std::string lease = kv.grant_lease(0s, 10s);
    const auto written = kv.put("live/a", 0, "x", lease);
    CHECK(kv.renew_lease(8s, lease));
    CHECK_FALSE(kv.expire_leases(17s));
    CHECK(kv.next_expiry() == timestamp(18s));
    CHECK(kv.expire_leases(18s));
    CHECK(kv.get("live/a").version == 0);
    CHECK_FALSE(kv.renew_lease(18s, lease));
    const auto changes = kv.changes("live/", written.version);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].erased);
    CHECK(kv.put("live/a", 0, "y", "").version > changes[0].version);
}

TEST_CASE("a token bucket admits its rate and a lagged value returns past values")
{
    token_bucket bucket;
    bucket.set_rate(100);
    int admitted = 0;
    for (timestamp now{0}; now < 10s; now += 1ms) {
        admitted += bucket.take(now) ? 1 : 0;
    }
    CHECK(admitted >= 1'000);
    CHECK(admitted <= 1'010);

    lagged_value<int> report;
    report.set(0s, 1);
    report.set(10s, 2);
    CHECK(report.at(9s) == 1);
    CHECK(report.at(10s) == 2);
    CHECK(report.at(-5s) == 1);
}

TEST_CASE("the newest matching fault rule applies until its count is used up")
{
    fault_plan plan;
    plan.add({{"slow_ms", 5}});
    plan.add({{"outage", true}, {"method", "PUT"}, {"path", "/kv/a"}, {"count", 2}});
    CHECK_FALSE(plan.take("GET", "/kv/a").outage);
    CHECK(plan.take("PUT", "/kv/ab").outage);
    CHECK(plan.take("PUT", "/kv/a").outage);
    CHECK_FALSE(plan.take("PUT", "/kv/a").outage);
    CHECK(plan.take("PUT", "/kv/a").slow == 5ms);
    CHECK(plan.global_fault().slow == 5ms);
    plan.clear();
    CHECK(plan.take("PUT", "/kv/a").slow == 0ms);
    CHECK_THROWS_AS(plan.add({{"slowms", 5}}), std::invalid_argument);
    CHECK_THROWS_AS(plan.add({{"slow_factor", 0}}), std::invalid_argument);
}
