#include "routing/target_placement.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace lagoonferry::bench {

namespace {

constexpr timestamp now = std::chrono::seconds(10);
constexpr std::size_t targets_per_gateway = 5; ///< targets on which one gateway has requests in flight

std::vector<target_record> make_targets(std::size_t count)
{
    std::vector<target_record> records(count);
    for (std::size_t n = 0; n < count; ++n) {
        records[n].id = "engine-" + std::to_string(n);
        records[n].service = "model";
        records[n].failure_domain = "fd-" + std::to_string(n % 3);
        records[n].slots = 48;
    }
    return records;
}

std::vector<target_load> loads_of(std::size_t gateway, std::span<const target_record> targets)
{
    std::vector<target_load> loads;
    for (std::size_t n = 0; n < std::min(targets_per_gateway, targets.size()); ++n) {
        loads.push_back({targets[(gateway * targets_per_gateway + n) % targets.size()].id, 1, 500, 0});
    }
    return loads;
}

target_placement make_placement(std::size_t gateways, std::span<const target_record> targets)
{
    target_placement placement(1);
    for (std::size_t n = 0; n < gateways; ++n) {
        placement.on_peer_loads("front-" + std::to_string(n), loads_of(n, targets), now);
    }
    return placement;
}

/// Measures the choice of a target for one request. Arguments: gateways, targets.
void choose_target(benchmark::State& state)
{
    const auto records = make_targets(static_cast<std::size_t>(state.range(1)));
    target_placement placement = make_placement(static_cast<std::size_t>(state.range(0)), records);
    std::vector<const target_record*> candidates;
    std::ranges::transform(records, std::back_inserter(candidates), [](const target_record& item) { return &item; });
    const std::array prompt{prompt_block{1, 2'560}, prompt_block{2, 500}};
    placement_request request;
    request.prompt = prompt;
    request.output_tokens = 34;
    request.local_domain = "fd-1";
    for (auto _ : state) {
        benchmark::DoNotOptimize(placement.choose(candidates, request, now));
    }
}
BENCHMARK(choose_target)->Args({7, 18})->Args({77, 75})->Args({340, 75})->Args({340, 340});

/// Measures the handling of one load report from another gateway. Argument: gateways.
void hear_loads(benchmark::State& state)
{
    const auto records = make_targets(75);
    const auto gateways = static_cast<std::size_t>(state.range(0));
    target_placement placement = make_placement(gateways, records);
    std::size_t n = 0;
    for (auto _ : state) {
        placement.on_peer_loads("front-" + std::to_string(n % gateways), loads_of(n, records), now);
        ++n;
    }
}
BENCHMARK(hear_loads)->Arg(7)->Arg(77)->Arg(340);

} // namespace

} // namespace lagoonferry::bench
