#include "dispatch/make_dispatcher.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::atomic<std::uint64_t> g_allocations = 0;
std::atomic<std::int64_t> g_bytes = 0; // allocated and not yet freed, including the rounding of the allocator

} // namespace

// Not inlined: otherwise the compiler reports malloc and free as mismatched with new and delete.
[[gnu::noinline]] void* operator new(std::size_t size)
{
    ++g_allocations;
    if (void* p = std::malloc(size)) {
        g_bytes += static_cast<std::int64_t>(malloc_usable_size(p));
        return p;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* p) noexcept
{
    g_bytes -= static_cast<std::int64_t>(malloc_usable_size(p));
    std::free(p);
}

[[gnu::noinline]] void operator delete(void* p, std::size_t /*size*/) noexcept
{
    g_bytes -= static_cast<std::int64_t>(malloc_usable_size(p));
    std::free(p);
}

namespace lagoonferry::bench {

namespace {

constexpr timestamp call_time = std::chrono::seconds(10);
constexpr std::uint32_t slots = 24;

slot_acquire make_acquire(std::uint64_t request)
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

/// Returns a dispatcher with `targets` targets of which half of the slots are granted.
slot_dispatcher make_half_full_dispatcher(std::size_t targets)
{
    auto d = make_dispatcher({}, 1, 1, timestamp{0});
    for (std::size_t n = 0; n < targets; ++n) {
        d.set_target({"allocation-" + std::to_string(n), "allocation", "fd-1", slots}, timestamp{0});
    }
    for (std::uint64_t n = 0; n < targets * slots / 2; ++n) {
        d.handle(make_acquire(1'000'000 + n), call_time);
    }
    d.tick(call_time);
    return d;
}

/// Measures an acquire that is granted immediately and the release of its slot.
void acquire_and_release(benchmark::State& state)
{
    auto d = make_half_full_dispatcher(static_cast<std::size_t>(state.range(0)));
    std::uint64_t request = 1;
    const auto before = g_allocations.load();
    for (auto _ : state) {
        const auto call = make_acquire(request++);
        const auto replies = d.handle(call, call_time);
        const auto* granted = std::get_if<slot_grant>(&replies.at(0).message);
        if (granted == nullptr) {
            state.SkipWithError("the call was not granted");
            break;
        }
        benchmark::DoNotOptimize(
            d.handle(slot_release{granted->slot, call.holder, 100'000, 30'000, 100, 0}, call_time));
    }
    state.counters["allocations"] =
        benchmark::Counter(static_cast<double>(g_allocations - before), benchmark::Counter::kAvgIterations);
}

/// Measures the periodic tick with no call waiting.
void tick(benchmark::State& state)
{
    auto d = make_half_full_dispatcher(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(d.tick(call_time));
    }
}

/// Measures how a successor rebuilds its slot table after a takeover, until it may grant. Eight holders report their
/// slots in parts of 16. Arguments: targets, percentage of all slots that are held. The counter `bytes` is the memory
/// allocated and not freed.
void rebuild(benchmark::State& state)
{
    constexpr std::uint64_t epoch = 1;
    constexpr std::size_t holders = 8;
    constexpr std::size_t slots_per_part = 16;
    const auto targets = static_cast<std::size_t>(state.range(0));
    const auto held_slots = targets * slots * static_cast<std::size_t>(state.range(1)) / 100;
    std::vector<std::string> ids;
    std::vector<slot_report> reports;
    for (std::size_t h = 0; h < holders; ++h) {
        ids.push_back("entry-" + std::to_string(h));
        const std::size_t count = held_slots / holders + (h < held_slots % holders ? 1 : 0);
        const auto parts = std::max<std::size_t>(1, (count + slots_per_part - 1) / slots_per_part);
        for (std::size_t part = 0; part < parts; ++part) {
            slot_report m{ids.back(),
                          {},
                          parts == 1,
                          epoch,
                          1,
                          static_cast<std::uint32_t>(part),
                          static_cast<std::uint32_t>(parts)};
            for (std::size_t n = part * slots_per_part; n < std::min(count, (part + 1) * slots_per_part); ++n) {
                const std::uint64_t slot = 1 + h + n * holders;
                m.slots.push_back(
                    {slot, slot, "allocation-" + std::to_string(slot % targets), service_class::normal, slot, 4000});
            }
            reports.push_back(std::move(m));
        }
    }
    std::uint64_t allocations = 0;
    std::int64_t retained_bytes = 0;
    for (auto _ : state) {
        state.PauseTiming();
        const std::int64_t bytes_before = g_bytes;
        auto d = make_dispatcher({}, epoch, 1, timestamp{0});
        d.set_holders(ids);
        for (std::size_t n = 0; n < targets; ++n) {
            d.set_target({"allocation-" + std::to_string(n), "allocation", "fd-1", slots}, timestamp{0});
        }
        const auto before = g_allocations.load();
        state.ResumeTiming();
        for (const auto& m : reports) {
            benchmark::DoNotOptimize(d.handle(m, timestamp{1000}));
        }
        state.PauseTiming();
        allocations += g_allocations - before;
        retained_bytes = g_bytes - bytes_before;
        if (d.counters().slots != held_slots) {
            state.SkipWithError("the dispatcher does not list every held slot");
        }
        state.ResumeTiming();
    }
    state.counters["held"] = static_cast<double>(held_slots);
    state.counters["allocations"] =
        benchmark::Counter(static_cast<double>(allocations), benchmark::Counter::kAvgIterations);
    state.counters["bytes"] = static_cast<double>(retained_bytes);
}

} // namespace

BENCHMARK(rebuild)->ArgsProduct({{5, 40, 400}, {10, 50, 100}})->Unit(benchmark::kMicrosecond);
BENCHMARK(acquire_and_release)->Arg(5)->Arg(10)->Arg(20)->Arg(40);
BENCHMARK(tick)->Arg(5)->Arg(10)->Arg(20)->Arg(40);

} // namespace lagoonferry::bench

BENCHMARK_MAIN();
