#include "policy_command.h"

#include "bounds.h"
#include "report.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <iostream>
#include <thread>

namespace lagoonferry::bench {

namespace {

constexpr const char* usage = R"(Compares dispatch policies on a virtual clock.

Usage: lagoonferry_bench policy [--workload NAME] [--seeds N] [--threads N] [--json] [--plots DIR] [--known-red FILE]

Options:
  --workload NAME   Only zurich or vallarsa.
  --seeds N         Runs per policy and scenario [default: 5].
  --threads N       Worker threads; 0 for one per core [default: 0].
  --json            Write all figures as JSON.
  --plots DIR       Also write data and a gnuplot script to this folder.
  --known-red FILE  Bounds that are known not to be met [default: KNOWN-RED.txt].
)";

std::vector<workload> chosen_workloads(const docopt::value& name)
{
    std::vector<workload> all{zurich(), vallarsa()};
    if (name) {
        std::erase_if(all, [&](const workload& w) { return w.name != name.asString(); });
    }
    return all;
}

std::size_t thread_count(const docopt::value& value)
{
    const auto count = value.asLong();
    return count > 0 ? static_cast<std::size_t>(count) : std::max(1U, std::thread::hardware_concurrency());
}

bool failed(const bound_result& r)
{
    return !r.met && !r.known_red;
}

} // namespace

int policy_command(const std::vector<std::string>& arguments)
{
    auto options = docopt::docopt(usage, arguments, true);
    const auto workloads = chosen_workloads(options["--workload"]);
    const auto seeds = options["--seeds"].asLong();
    if (workloads.empty() || seeds < 1) {
        std::cerr << usage;
        return 2;
    }
    const auto comparisons = compare(workloads, static_cast<std::size_t>(seeds), thread_count(options["--threads"]));
    const auto known_red = read_known_red(options["--known-red"].asString());
    std::vector<bound_result> results;
    for (const auto& c : comparisons) {
        std::ranges::copy(check_bounds(c, known_red), std::back_inserter(results));
    }
    const auto failures = std::ranges::count_if(results, failed);
    if (options["--plots"] && !write_plots(options["--plots"].asString(), comparisons)) {
        std::cerr << "cannot write to the folder given with --plots\n";
        return 2;
    }
    if (options["--json"].asBool()) {
        std::cout << to_report(comparisons, results).dump(1) << '\n';
        return failures == 0 ? 0 : 1;
    }
    write_tables(std::cout, comparisons);
    write_bounds(std::cout, results);
    std::cout << std::ranges::count_if(results, &bound_result::met) << " passed, " << failures << " failed\n";
    return failures == 0 ? 0 : 1;
}

} // namespace lagoonferry::bench
