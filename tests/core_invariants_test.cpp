#include "fake_world.h"

#include <doctest/doctest.h>

#include <atomic>
#include <cstdlib>
#include <thread>

using namespace lagoonferry;
using namespace lagoonferry::test;

namespace {

struct batch_result {
    std::map<std::uint64_t, std::string> violations; ///< by seed
    world_counts counts;
};

void add(world_counts& sum, const world_counts& it)
{
    sum.turns += it.turns;
    sum.repeated_turns += it.repeated_turns;
    sum.executions += it.executions;
    sum.takeovers += it.takeovers;
    sum.handovers += it.handovers;
    sum.refusals += it.refusals;
    sum.lost_programs += it.lost_programs;
    sum.list_changes += it.list_changes;
    sum.unknown_outcomes += it.unknown_outcomes;
    sum.events += it.events;
}

/// Runs the seeds [first, first + count). Each seed is independent, so the result does not depend on thread timing.
batch_result run_seeds(std::uint64_t first, std::uint64_t count, const world_options& base)
{
    const unsigned threads = std::max(1U, std::min(8U, std::thread::hardware_concurrency()));
    std::vector<batch_result> parts(threads);
    std::atomic<std::uint64_t> next{first};
    std::vector<std::jthread> workers;
    for (batch_result& part : parts) {
        workers.emplace_back([&part, &next, &base, end = first + count] {
            for (std::uint64_t seed = next++; seed < end; seed = next++) {
                world_options options = base;
                options.seed = seed;
                fake_world world(options);
                if (const auto violation = world.run()) {
                    part.violations[seed] = *violation;
                }
                add(part.counts, world.counts());
            }
        });
    }
    workers.clear();
    batch_result all;
    for (const batch_result& part : parts) {
        all.violations.insert(part.violations.begin(), part.violations.end());
        add(all.counts, part.counts);
    }
    return all;
}

} // namespace

TEST_CASE("no invariant is violated in random failure schedules")
{
    if (const char* seed = std::getenv("LAGOONFERRY_SEED")) {
        world_options options;
        options.seed = std::stoull(seed);
        options.trace = true;
        fake_world world(options);
        const auto violation = world.run();
        CHECK_MESSAGE(!violation, "seed ", seed, ": ", violation.value_or(""));
        return;
    }
    const char* wanted = std::getenv("LAGOONFERRY_SCHEDULES");
    const std::uint64_t schedules = wanted == nullptr ? 10000 : std::stoull(wanted);
    const batch_result result = run_seeds(1, schedules, {});
    for (const auto& [seed, violation] : result.violations) {
        CHECK_MESSAGE(false, "LAGOONFERRY_SEED=", seed, ": ", violation);
    }
    const world_counts& it = result.counts;
    MESSAGE("turns ", it.turns, " repeated ", it.repeated_turns, " executions ", it.executions, " takeovers ",
            it.takeovers, " handovers ", it.handovers, " refusals ", it.refusals, " lost programs ", it.lost_programs,
            " list changes ", it.list_changes, " unknown outcomes ", it.unknown_outcomes, " events ", it.events);
    CHECK(it.turns > schedules);
    CHECK(it.takeovers > schedules);
    CHECK(it.executions > schedules);
}
