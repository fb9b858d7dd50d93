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

constexpr std::array courses{scenario::moved, scenario::swinging};
constexpr timestamp swing_window = std::chrono::minutes(10);

/// Runs of one workload in one scenario, by seed.
struct orders_run {
    const workload* load;
    scenario run_scenario;
    bool with_orders;
    std::vector<run_figures> figures;
    std::vector<order_log> ordered;
};

void run_all(std::vector<orders_run>& runs, std::size_t seeds, std::size_t threads)
{
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        const order_settings settings;
        for (std::size_t n = next++; n < runs.size() * seeds; n = next++) {
            auto& r = runs[n / seeds];
            const auto seed = n % seeds;
            r.figures[seed] = run_policy(*r.load, r.run_scenario, policy_rows().front(), seed + 1,
                                         r.with_orders ? &settings : nullptr, &r.ordered[seed]);
        }
    };
    std::vector<std::jthread> pool;
    for (std::size_t n = 0; n < threads; ++n) {
        pool.emplace_back(work);
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

/// Largest number of loads of one target that start within the window.
double most_loads_of_target(const orders_run& r)
{
    double most = 0;
    for (const auto& record : r.ordered) {
        for (const auto& last : record.model_loads) {
            const auto near = std::ranges::count_if(record.model_loads, [&](const model_load_record& it) {
                return it.target == last.target && it.at <= last.at && last.at - it.at < swing_window;
            });
            most = std::max(most, static_cast<double>(near));
        }
    }
    return most;
}

/// Least time in seconds between two starts of loads.
double least_gap_s(const orders_run& r)
{
    double least = std::numeric_limits<double>::infinity();
    for (const auto& record : r.ordered) {
        for (std::size_t n = 1; n < record.model_loads.size(); ++n) {
            const auto gap = record.model_loads[n].at - record.model_loads[n - 1].at;
            least = std::min(least, static_cast<double>(gap.count()) / 1e6);
        }
    }
    return least;
}

double max_concurrent_loads(const orders_run& r)
{
    std::size_t most = 0;
    std::ranges::for_each(r.ordered, [&](const order_log& it) { most = std::max(most, it.max_concurrent_loads); });
    return static_cast<double>(most);
}

void write_row(const orders_run& r)
{
    const auto p95 = sorted(r, &run_figures::program_p95_s);
    std::vector<std::size_t> model_loads;
    std::ranges::transform(r.ordered, std::back_inserter(model_loads),
                           [](const auto& it) { return it.model_loads.size(); });
    std::ranges::sort(model_loads);
    std::cout << std::left << std::setw(10) << r.load->name << std::setw(10) << to_string(r.run_scenario)
              << std::setw(16) << (r.with_orders ? "with orders" : "without orders") << std::fixed
              << std::setprecision(3) << "program p50 " << median(r, &run_figures::program_p50_s) << " s, p95 "
              << median(r, &run_figures::program_p95_s) << " s [" << p95.front() << ", " << p95.back() << "], p99 "
              << median(r, &run_figures::program_p99_s) << " s, given up " << median(r, &run_figures::given_up_share)
              << ", short wait p99 " << median(r, &run_figures::short_wait_p99_s) << " s, recomputed "
              << median(r, &run_figures::recomputed_share) << ", loads " << model_loads[model_loads.size() / 2] << " ["
              << model_loads.front() << ", " << model_loads.back() << "]\n";
}

bound_result at_most(const orders_run& r, const char* name, const char* text, double value, double limit)
{
    return {r.load->name + " " + std::string(to_string(r.run_scenario)) + " " + name, text, value, limit,
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
        auto result = at_most(with, "program latency p95", "", ratio, 1);
        result.text = text.str();
        result.met = p95 < base;
        results.push_back(result);
    }
    else {
        results.push_back(
            at_most(with, "loads of one target", "in any 10 minutes, every seed", most_loads_of_target(with), 1));
    }
    const double interval = static_cast<double>(settings.load_interval.count()) / 1e6;
    const double gap = least_gap_s(with);
    results.push_back({with.load->name + " " + std::string(to_string(with.run_scenario)) + " time between loads",
                       "s between two starts in any seed, at least", gap, interval, gap >= interval});
    results.push_back(
        at_most(with, "loads in flight", "in any seed", max_concurrent_loads(with), settings.loads_in_flight));
    return results;
}

} // namespace

int orders_command(const std::vector<std::string>& arguments)
{
    auto options = docopt::docopt(usage, arguments, true);
    const auto seeds = options["--seeds"].asLong();
    const auto threads = options["--threads"].asLong();
    std::vector<workload> model_loads{zurich(), vallarsa()};
    if (options["--workload"]) {
        std::erase_if(model_loads, [&](const workload& w) { return w.name != options["--workload"].asString(); });
    }
    if (model_loads.empty() || seeds < 1 || threads < 0) {
        std::cerr << usage;
        return 2;
    }
    const auto count = static_cast<std::size_t>(seeds);
    std::vector<orders_run> runs;
    for (const auto& w : model_loads) {
        for (const auto run_scenario : courses) {
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
