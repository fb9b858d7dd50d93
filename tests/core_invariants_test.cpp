#include "partition_simulation.h"

#include <doctest/doctest.h>

#include <atomic>
#include <cstdlib>
#include <ranges>
#include <thread>

using namespace lagoonferry;
using namespace lagoonferry::test;

namespace {

struct batch_result {
    std::map<std::uint64_t, std::string> violations; ///< by seed
    simulation_counts counts;
};

void add(simulation_counts& sum, const simulation_counts& it)
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
    sum.history_reads += it.history_reads;
    sum.changed_reads += it.changed_reads;
    sum.events += it.events;
}

/// Half of the seeds run with a bound of a few turns, so that texts leave memory and are read back.
std::size_t bound_of(std::uint64_t seed)
{
    return seed % 2 == 0 ? 4096 : 0;
}

/// Runs the seeds [first, first + count). Each seed is independent, so the result does not depend on thread timing.
batch_result run_seeds(std::uint64_t first, std::uint64_t count, const simulation_options& base)
{
    const unsigned threads = std::max(1U, std::min(8U, std::thread::hardware_concurrency()));
    std::vector<batch_result> parts(threads);
    std::atomic<std::uint64_t> next{first};
    std::vector<std::jthread> workers;
    for (batch_result& part : parts) {
        workers.emplace_back([&part, &next, &base, end = first + count] {
            for (std::uint64_t seed = next++; seed < end; seed = next++) {
                simulation_options options = base;
                options.seed = seed;
                options.history_bytes = bound_of(seed);
                partition_simulation world(options);
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
        simulation_options options;
        options.seed = std::stoull(seed);
        options.history_bytes = bound_of(options.seed);
        options.trace = true;
        partition_simulation world(options);
        const auto violation = world.run();
        CHECK_MESSAGE(!violation, "seed ", seed, ": ", violation.value_or(""));
        return;
    }
    const char* wanted = std::getenv("LAGOONFERRY_SCHEDULES");
    const std::uint64_t schedules = wanted == nullptr ? 10000 : std::stoull(wanted);
    const batch_result result = run_seeds(1, schedules, {});
    constexpr std::size_t max_printed = 20;
    for (const auto& [seed, violation] : result.violations | std::views::take(max_printed)) {
        CHECK_MESSAGE(false, "LAGOONFERRY_SEED=", seed, ": ", violation);
    }
    CHECK(result.violations.empty());
    const simulation_counts& it = result.counts;
    MESSAGE("turns ", it.turns, " repeated ", it.repeated_turns, " executions ", it.executions, " takeovers ",
            it.takeovers, " handovers ", it.handovers, " refusals ", it.refusals, " lost programs ", it.lost_programs,
            " list changes ", it.list_changes, " unknown outcomes ", it.unknown_outcomes, " history reads ",
            it.history_reads, " changed reads ", it.changed_reads, " events ", it.events);
    CHECK(it.turns > schedules);
    CHECK(it.takeovers > schedules);
    CHECK(it.executions > schedules);
    CHECK(it.history_reads > schedules);
    CHECK(it.changed_reads > schedules / 100);
}

TEST_CASE("the check notices each removed guard of the protocol")
{
    struct removed_guard {
        std::string name;
        void (*remove)(simulation_options&);
    };
    const std::vector<removed_guard> guards{
        {"the intent is confirmed before the call is sent", [](auto& it) { it.faults.send_before_confirmed = true; }},
        {"an answer waits for a backup", [](auto& it) { it.faults.reply_before_stored = true; }},
        {"a mark is stored ahead of use", [](auto& it) { it.faults.high_water_mark_after_use = true; }},
        {"an engine's answer matches its call", [](auto& it) { it.faults.ignore_call_epoch = true; }},
        {"a successor fences the backups", [](auto& it) { it.faults.skip_fencing = true; }},
        {"a successor that lacks a copy ends what may be incomplete",
         [](auto& it) { it.faults.continue_without_replica = true; }},
        {"a successor keeps intents without outcome", [](auto& it) { it.faults.ignore_unfinished_intents = true; }},
        {"a list change counts both lists", [](auto& it) { it.faults.count_new_backups_only = true; }},
        {"a lost reply is read back", [](auto& it) { it.read_back = false; }},
        {"a turn waits for the texts that are not in memory", [](auto& it) { it.faults.skip_history_read = true; }},
        {"texts that are read back are verified", [](auto& it) { it.faults.skip_history_check = true; }},
        {"a backup refuses lower epochs", [](auto& it) { it.replica.accept_lower_epochs = true; }},
        {"a backup refuses batches for another incarnation",
         [](auto& it) { it.replica.accept_other_incarnations = true; }},
    };
    constexpr std::uint64_t block = 200;
    constexpr std::uint64_t last = 4000;
    for (const removed_guard& it : guards) {
        simulation_options options;
        it.remove(options);
        std::map<std::uint64_t, std::string> violations;
        for (std::uint64_t first = 1; first < last && violations.empty(); first += block) {
            violations = run_seeds(first, block, options).violations;
        }
        CHECK_MESSAGE(!violations.empty(), "without the guard that ", it.name);
        if (violations.empty()) {
            continue;
        }
        MESSAGE("without the guard that ", it.name, ": seed ", violations.begin()->first, ": ",
                violations.begin()->second);
    }
}
