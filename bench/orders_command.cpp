#include "orders_command.h"

#include "bounds.h"
#include "policy_run.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <iomanip>
#include <iostream>
#include <limits>
#include <map>
#include <sstream>
#include <thread>

namespace lagoonferry::bench {

namespace {

constexpr const char* usage = R"(Compares the shipped policy with and without orders while demand moves between models.

Usage: lagoonferry_bench orders [--workload NAME] [--seeds N] [--threads N] [--known-red FILE]

Options:
  --workload NAME   Only zurich or vallarsa.
  --seeds N         Runs per row [default: 5].
  --threads N       Worker threads; 0 for one per core [default: 0].
  --known-red FILE  Bounds that are known not to be met [default: KNOWN-RED.txt].
)";

constexpr std::array order_scenarios{scenario::moved, scenario::swinging};
constexpr timestamp load_window = std::chrono::minutes(10);

/// Runs of one workload in one scenario; figures and order logs are indexed by seed.
struct orders_run {
    const workload* run_workload;
    scenario run_scenario;
    bool with_orders;
    std::vector<run_figures> figures;
    std::vector<order_log> order_logs;
};

void run_all(std::vector<orders_run>& runs, std::size_t seeds, std::size_t threads)
{
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        const order_settings settings;
        for (std::size_t n = next++; n < runs.size() * seeds; n = next++) {
            auto& r = runs[n / seeds];
            const auto seed = n % seeds;
            r.figures[seed] = run_policy(*r.run_workload, r.run_scenario, policy_rows().front(), seed + 1,
                                         r.with_orders ? &settings : nullptr, &r.order_logs[seed]);
        }
    };
    std::vector<std::jthread> workers;
    for (std::size_t n = 0; n < threads; ++n) {
        workers.emplace_back(work);
    }
}

std::vector<double> sorted(const orders_run& r, double run_figures::*figure)
{
    std::vector<double> values;
    std::ranges::transform(r.figures, std::back_inserter(values), [&](const auto& f) { return f.*figure; });
    std::ranges::sort(values);
    return values;
}

double median(const orders_run& r, double run_figures::*figure)
{
    const auto values = sorted(r, figure);
    return values[values.size() / 2];
}

/// Returns the largest number of loads of one target that start within `load_window`.
double max_loads_per_target(const orders_run& r)
{
    double largest = 0;
    for (const auto& record : r.order_logs) {
        for (const auto& latest : record.model_loads) {
            const auto loads_in_window = std::ranges::count_if(record.model_loads, [&](const model_load_record& it) {
                return it.target == latest.target && it.at <= latest.at && latest.at - it.at < load_window;
            });
            largest = std::max(largest, static_cast<double>(loads_in_window));
        }
    }
    return largest;
}

/// Returns the shortest time in seconds between the starts of two consecutive loads.
double min_load_gap_s(const orders_run& r)
{
    double smallest = std::numeric_limits<double>::infinity();
    for (const auto& record : r.order_logs) {
        for (std::size_t n = 1; n < record.model_loads.size(); ++n) {
            const auto gap = record.model_loads[n].at - record.model_loads[n - 1].at;
            smallest = std::min(smallest, static_cast<double>(gap.count()) / 1e6);
        }
    }
    return smallest;
}

double max_concurrent_loads(const orders_run& r)
{
    std::size_t largest = 0;
    std::ranges::for_each(r.order_logs,
                          [&](const order_log& it) { largest = std::max(largest, it.max_concurrent_loads); });
    return static_cast<double>(largest);
}

void write_row(const orders_run& r)
{
    const auto p95 = sorted(r, &run_figures::program_p95_s);
    std::vector<std::size_t> load_counts;
    std::ranges::transform(r.order_logs, std::back_inserter(load_counts),
                           [](const auto& it) { return it.model_loads.size(); });
    std::ranges::sort(load_counts);
    std::cout << std::left << std::setw(10) << r.run_workload->name << std::setw(10) << to_string(r.run_scenario)
              << std::setw(16) << (r.with_orders ? "with orders" : "without orders") << std::fixed
              << std::setprecision(3) << "program p50 " << median(r, &run_figures::program_p50_s) << " s, p95 "
              << median(r, &run_figures::program_p95_s) << " s [" << p95.front() << ", " << p95.back() << "], p99 "
              << median(r, &run_figures::program_p99_s) << " s, given up " << median(r, &run_figures::given_up_share)
              << ", short wait p99 " << median(r, &run_figures::short_wait_p99_s) << " s, recomputed "
              << median(r, &run_figures::recomputed_share) << ", loads " << load_counts[load_counts.size() / 2] << " ["
              << load_counts.front() << ", " << load_counts.back() << "]\n";
}

bound_result check_upper_bound(const orders_run& r, const char* name, const char* text, double value, double limit)
{
    return {r.run_workload->name + " " + std::string(to_string(r.run_scenario)) + " " + name, text, value, limit,
            value <= limit};
}

std::vector<bound_result> check(const orders_run& with, const orders_run& without)
{
    const order_settings settings;
    std::vector<bound_result> results;
    const double p95 = median(with, &run_figures::program_p95_s);
    const double base = median(without, &run_figures::program_p95_s);
    if (with.run_scenario == scenario::moved) {
        std::ostringstream text;
        text << p95 << " s against " << base << " s without orders, below";
        const double ratio = p95 < base ? p95 / base : std::max(1.0, p95 / base);
        auto result = check_upper_bound(with, "program latency p95", "", ratio, 1);
        result.text = text.str();
        result.met = p95 < base;
        results.push_back(result);
    }
    else {
        results.push_back(check_upper_bound(with, "loads of one target", "in any 10 minutes, every seed",
                                            max_loads_per_target(with), 1));
    }
    const double interval = static_cast<double>(settings.load_interval.count()) / 1e6;
    const double gap = min_load_gap_s(with);
    results.push_back(
        {with.run_workload->name + " " + std::string(to_string(with.run_scenario)) + " time between loads",
         "s between two starts in any seed, at least", gap, interval, gap >= interval});
    results.push_back(check_upper_bound(with, "loads in flight", "in any seed", max_concurrent_loads(with),
                                        settings.loads_in_flight));
    return results;
}

} // namespace

int orders_command(const std::vector<std::string>& arguments)
{
    auto options = docopt::docopt(usage, arguments, true);
    const auto seeds = options["--seeds"].asLong();
    const auto threads = options["--threads"].asLong();
    std::vector<workload> workloads{zurich(), vallarsa()};
    if (options["--workload"]) {
        std::erase_if(workloads, [&](const workload& w) { return w.name != options["--workload"].asString(); });
    }
    if (workloads.empty() || seeds < 1 || threads < 0) {
        std::cerr << usage;
        return 2;
    }
    const auto count = static_cast<std::size_t>(seeds);
    std::vector<orders_run> runs;
    for (const auto& w : workloads) {
        for (const auto run_scenario : order_scenarios) {
            for (const bool with : {true, false}) {
                runs.push_back(
                    {&w, run_scenario, with, std::vector<run_figures>(count), std::vector<order_log>(count)});
            }
        }
    }
    run_all(runs, count,
            threads > 0 ? static_cast<std::size_t>(threads) : std::max(1U, std::thread::hardware_concurrency()));
    const auto known_red = read_known_red(options["--known-red"].asString());
    std::size_t failures = 0;
    std::vector<bound_result> results;
    for (std::size_t n = 0; n < runs.size(); n += 2) {
        write_row(runs[n]);
        write_row(runs[n + 1]);
        std::ranges::copy(check(runs[n], runs[n + 1]), std::back_inserter(results));
    }
    for (auto& r : results) {
        r.known_red = known_red.contains(r.name);
        failures += !r.met && !r.known_red ? 1 : 0;
        std::cout << (r.met         ? "ok        "
                      : r.known_red ? "known red "
                                    : "FAILED    ")
                  << r.name << ": " << r.value << " (" << r.text << ' ' << r.limit << ")\n";
    }
    std::cout << std::ranges::count_if(results, &bound_result::met) << " passed, " << failures << " failed\n";
    return failures == 0 ? 0 : 1;
}

} // namespace lagoonferry::bench
