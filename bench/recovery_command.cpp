#include "recovery_command.h"

#include "recovery_bounds.h"
#include "recovery_report.h"
#include "recovery_run.h"
#include "report.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <thread>

namespace lagoonferry::bench {

namespace {

constexpr const char* usage =
    R"(Measures the recovery from failures of dispatchers, holders and targets on a virtual clock.

Usage: lagoonferry_bench recovery [--size NAME] [--fault NAME] [--large] [--seeds N] [--threads N] [--json]
                                  [--plots DIR] [--known-red FILE]

Options:
  --size NAME       Only this size.
  --fault NAME      Only this fault: killed, paused, cut, mass-restart or domain-lost.
  --large           Also 40 instances with 400 engines, and 340 with 3,100.
  --seeds N         Runs per size and fault [default: 3].
  --threads N       Worker threads; 0 for one per core [default: 0].
  --json            Write all figures and the served rate over time as JSON.
  --plots DIR       Also write data and a gnuplot script to this folder.
  --known-red FILE  Bounds that are known not to be met [default: KNOWN-RED.txt].
)";

std::vector<recovery_result> planned_runs(const std::map<std::string, docopt::value>& options)
{
    std::vector<recovery_result> runs;
    const auto& size_name = options.at("--size");
    const auto& fault_name = options.at("--fault");
    for (const auto& size : recovery_sizes(options.at("--large").asBool() || size_name)) {
        for (const auto fault : all_recovery_faults) {
            const bool selected = (!size_name || size.name == size_name.asString()) &&
                                  (!fault_name || to_string(fault) == fault_name.asString());
            for (long seed = 1; selected && seed <= options.at("--seeds").asLong(); ++seed) {
                runs.push_back({size, fault, static_cast<std::uint64_t>(seed), {}});
            }
        }
    }
    return runs;
}

void run_all(std::vector<recovery_result>& runs, std::size_t threads)
{
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t n = next++; n < runs.size(); n = next++) {
            runs[n].figures = run_recovery(runs[n].size, runs[n].fault, runs[n].seed);
        }
    };
    std::vector<std::jthread> workers;
    for (std::size_t n = 0; n < std::min(threads, runs.size()); ++n) {
        workers.emplace_back(work);
    }
}

} // namespace

int recovery_command(const std::vector<std::string>& arguments)
{
    const auto options = docopt::docopt(usage, arguments, true);
    auto runs = planned_runs(options);
    if (runs.empty()) {
        std::cerr << usage;
        return 2;
    }
    const auto threads = options.at("--threads").asLong();
    run_all(runs, threads > 0 ? static_cast<std::size_t>(threads) : std::max(1U, std::thread::hardware_concurrency()));
    const auto bounds = check_recovery_bounds(runs, read_known_red(options.at("--known-red").asString()));
    const auto failures = std::ranges::count_if(bounds, [](const auto& b) { return !b.met && !b.known_red; });
    if (options.at("--plots") && !write_recovery_plots(options.at("--plots").asString(), runs)) {
        std::cerr << "cannot write to the folder given with --plots\n";
        return 2;
    }
    if (options.at("--json").asBool()) {
        std::cout << to_recovery_json(runs).dump(1) << '\n';
        return failures == 0 ? 0 : 1;
    }
    write_recovery_table(std::cout, runs);
    write_bounds(std::cout, bounds);
    std::cout << std::ranges::count_if(bounds, &bound_result::met) << " passed, " << failures << " failed\n";
    return failures == 0 ? 0 : 1;
}

} // namespace lagoonferry::bench
