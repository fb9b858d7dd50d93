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
    sum.corrupted_reads += it.corrupted_reads;
    sum.events += it.events;
}

/// Returns the history limit of a seed. Half of the seeds run with a limit of a few turns, so that texts are evicted
/// and read back.
std::size_t history_limit(std::uint64_t seed)
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
                options.history_bytes = history_limit(seed);
                partition_simulation simulation(options);
                if (const auto violation = simulation.run()) {
                    part.violations[seed] = *violation;
                }
                add(part.counts, simulation.counts());
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

TEST_CASE("random failure schedules violate no invariant")
{
    if (const char* seed = std::getenv("LAGOONFERRY_SEED")) {
        simulation_options options;
        options.seed = std::stoull(seed);
        options.history_bytes = history_limit(options.seed);
        options.trace = true;
        partition_simulation simulation(options);
        const auto violation = simulation.run();
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
            it.history_reads, " corrupted reads ", it.corrupted_reads, " events ", it.events);
    CHECK(it.turns > schedules);
    CHECK(it.takeovers > schedules);
    CHECK(it.executions > schedules);
    CHECK(it.history_reads > schedules);
    CHECK(it.corrupted_reads > schedules / 100);
}

TEST_CASE("the invariant checks detect the removal of each safeguard")
{
    struct removed_safeguard {
        std::string name;
        void (*remove)(simulation_options&);
    };
    const std::vector<removed_safeguard> safeguards{
        {"the intent is confirmed before the call is sent", [](auto& it) { it.faults.send_before_confirmed = true; }},
        {"a reply waits for a backup", [](auto& it) { it.faults.reply_before_stored = true; }},
        {"a high-water mark is stored before use", [](auto& it) { it.faults.high_water_mark_after_use = true; }},
        {"an engine's result belongs to a running call", [](auto& it) { it.faults.ignore_call_epoch = true; }},
        {"a successor fences the backups", [](auto& it) { it.faults.skip_fencing = true; }},
        {"a successor that lacks a replica ends programs that may be incomplete",
         [](auto& it) { it.faults.continue_without_replica = true; }},
        {"a successor recovers intents without an outcome",
         [](auto& it) { it.faults.ignore_unfinished_intents = true; }},
        {"both backup lists count during a change", [](auto& it) { it.faults.count_new_backups_only = true; }},
        {"the result of a write is read back after a lost reply", [](auto& it) { it.read_back = false; }},
        {"a turn waits for the texts that are not in memory", [](auto& it) { it.faults.skip_history_read = true; }},
        {"texts that are read back are verified", [](auto& it) { it.faults.skip_history_check = true; }},
        {"a backup refuses lower epochs", [](auto& it) { it.replica.accept_lower_epochs = true; }},
        {"a backup refuses batches for another incarnation",
         [](auto& it) { it.replica.accept_other_incarnations = true; }},
    };
    constexpr std::uint64_t block = 200;
    constexpr std::uint64_t last = 4000;
    for (const removed_safeguard& it : safeguards) {
        simulation_options options;
        it.remove(options);
        std::map<std::uint64_t, std::string> violations;
        for (std::uint64_t first = 1; first < last && violations.empty(); first += block) {
            violations = run_seeds(first, block, options).violations;
        }
        CHECK_MESSAGE(!violations.empty(), "no violation without the safeguard: ", it.name);
        if (violations.empty()) {
            continue;
        }
        MESSAGE("without the safeguard: ", it.name, ": seed ", violations.begin()->first, ": ",
                violations.begin()->second);
    }
}
