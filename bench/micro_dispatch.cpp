#include "dispatch/make_dispatcher.h"

#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> g_allocations = 0;

} // namespace

// Not inlined: the compiler would take the pair of malloc and free for mismatched.
[[gnu::noinline]] void* operator new(std::size_t size)
{
    ++g_allocations;
    if (void* p = std::malloc(size)) {
        return p;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* p) noexcept
{
    std::free(p);
}

[[gnu::noinline]] void operator delete(void* p, std::size_t /*size*/) noexcept
{
    std::free(p);
}

namespace lagoonferry::bench {

namespace {

constexpr timestamp warm = std::chrono::seconds(10);
constexpr std::uint32_t slots = 24;

slot_acquire next_call(std::uint64_t request)
{
    slot_acquire m;
    m.request = request;
    m.holder = "entry-" + std::to_string(request % 8);
    m.service = "ruderbootzuteilung";
    m.model = "allocation";
    m.account = "account-" + std::to_string(request % 40);
    m.priority = static_cast<service_class>(request % 3);
    m.prompt_tokens = 4000;
    m.expected_output = 150;
    m.prefix = 1 + request % 1000;
    m.deadline = std::chrono::seconds(60);
    return m;
}

/// A dispatcher with `targets` targets that are half full.
slot_dispatcher half_full(std::size_t targets)
{
    auto d = make_dispatcher({}, 1, 1, timestamp{0});
    for (std::size_t n = 0; n < targets; ++n) {
        d.set_target({"allocation-" + std::to_string(n), "allocation", "fd-1", slots}, timestamp{0});
    }
    for (std::uint64_t n = 0; n < targets * slots / 2; ++n) {
        d.handle(next_call(1'000'000 + n), warm);
    }
    d.tick(warm);
    return d;
}

/// One acquire that is granted at once, and the release of its slot.
void acquire_and_release(benchmark::State& state)
{
    auto d = half_full(static_cast<std::size_t>(state.range(0)));
    std::uint64_t request = 1;
    const auto before = g_allocations.load();
    for (auto _ : state) {
        const auto call = next_call(request++);
        const auto answer = d.handle(call, warm);
        const auto* granted = std::get_if<slot_grant>(&answer.at(0).message);
        if (granted == nullptr) {
            state.SkipWithError("the call was not granted");
            break;
        }
        benchmark::DoNotOptimize(d.handle(slot_release{granted->slot, call.holder, 100'000, 30'000, 100, 0}, warm));
    }
    state.counters["allocations"] =
        benchmark::Counter(static_cast<double>(g_allocations - before), benchmark::Counter::kAvgIterations);
}

/// The periodic tick with nothing waiting.
void tick(benchmark::State& state)
{
    auto d = half_full(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(d.tick(warm));
    }
}

} // namespace

BENCHMARK(acquire_and_release)->Arg(5)->Arg(10)->Arg(20)->Arg(40);
BENCHMARK(tick)->Arg(5)->Arg(10)->Arg(20)->Arg(40);

} // namespace lagoonferry::bench

BENCHMARK_MAIN();
