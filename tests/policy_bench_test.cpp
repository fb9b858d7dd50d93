#include "fake_engine.h"
#include "policy_run.h"

#include <doctest/doctest.h>

#include <map>

using namespace lagoonferry;
using namespace lagoonferry::bench;

namespace {

/// A fake engine and the time of each event that it reports.
struct observed_engine {
    virtual_clock clock;
    std::map<std::pair<engine_event, std::uint64_t>, timestamp> times;
    fake_engine engine;

    explicit observed_engine(const engine_spec& spec)
        : engine(clock, spec, [this](engine_event e, std::uint64_t call) {
              times[{e, call}] = clock.now();
          })
    {
    }

    void run()
    {
        clock.run_until(std::chrono::seconds(100), [] { return false; });
    }
};

} // namespace

TEST_CASE("fake engine: a larger batch takes longer per step, and a cached prompt is not computed again")
{
    const engine_spec spec;
    observed_engine alone(spec);
    alone.engine.submit({1, service_class::normal, 1, 2560, 101});
    alone.run();
    const auto prefill = alone.times.at({engine_event::first_token, 1});
    const auto streamed = alone.times.at({engine_event::done, 1}) - prefill;
    CHECK(prefill == timestamp{10 * (14'000 + 256 * 50)});
    CHECK(streamed == timestamp{100 * (14'000 + 1200)});
    CHECK(alone.engine.cached_prefix(1) == 2560 + 101);

    const auto again = alone.clock.now();
    alone.engine.submit({2, service_class::normal, 1, 2661, 1});
    alone.run();
    CHECK(alone.times.at({engine_event::first_token, 2}) - again < timestamp{20'000});

    observed_engine shared(spec);
    for (std::uint64_t n = 1; n <= 10; ++n) {
        shared.engine.submit({n, service_class::normal, n, 10, 100});
    }
    shared.run();
    CHECK(shared.times.at({engine_event::done, 1}) - shared.times.at({engine_event::first_token, 1}) > streamed);
}

TEST_CASE(
    "fake engine: urgent calls start first, the least recently used prefix is evicted, and cancel ends a call at once")
{
    engine_spec spec;
    spec.max_batch_size = 1;
    spec.memory_tokens = 1000;
    observed_engine e(spec);
    e.engine.submit({1, service_class::normal, 1, 300, 50});
    e.engine.submit({2, service_class::bulk, 2, 300, 50});
    e.engine.submit({3, service_class::safety, 3, 300, 50});
    e.engine.submit({4, service_class::bulk, 4, 300, 1'000'000});
    e.clock.run_until(std::chrono::seconds(10), [] { return false; });
    CHECK(e.times.at({engine_event::started, 3}) < e.times.at({engine_event::started, 2}));
    CHECK(e.engine.cached_prefix(1) == 0);
    CHECK(e.engine.generated(4) > 0);
    CHECK(e.engine.cancel(4) > 0);
    CHECK(e.engine.running() == 0);
    CHECK(e.times.count({engine_event::done, 4}) == 0);
}

TEST_CASE("a policy run gives the same figures for the same seed and different figures for another seed")
{
    const auto w = vallarsa();
    const auto& policy = policy_rows().front();
    const auto first = run_policy(w, scenario::surge, policy, 1);
    const auto again = run_policy(w, scenario::surge, policy, 1);
    const auto other = run_policy(w, scenario::surge, policy, 2);
    for (const auto& column : figure_columns()) {
        CHECK(first.*column.value == again.*column.value);
    }
    CHECK(first.programs != other.programs);
}
