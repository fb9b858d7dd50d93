#include "load_command.h"

#include "demo_caller.h"
#include "process_usage.h"

#include <docopt/docopt.h>
#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>

namespace lagoonferry::bench {

namespace {

using clock = std::chrono::steady_clock;
using milliseconds_f = std::chrono::duration<double, std::milli>;

constexpr auto usage = R"(Measures one entry process under load in real time.

Usage:
  lagoonferry_bench load --entry=<address> --engine=<address> --pid=<n> --key=<key> [options]

Options:
  --entry=<address>   HTTP address of the entry process.
  --engine=<address>  An engine, for the same calls without the entry process.
  --pid=<n>           Process id of the entry process.
  --key=<key>         Account key.
  --service=<name>    Service of the account [default: boat-assignment].
  --rate=<n>          Calls a second [default: 180].
  --seconds=<n>       Duration of each measurement [default: 8].
  --programs=<n>      Programs that are open [default: 850].
  --streams=<n>       Streams that are open at the same time [default: 1000].
)";

constexpr double max_added_median_ms = 5;
constexpr double max_added_p99_ms = 20;
constexpr double max_resident_mb = 128;
constexpr int caller_threads = 32;
constexpr int stream_tokens = 120;

struct latencies {
    std::vector<double> ms;
    int failed = 0;

    double at(double share)
    {
        if (ms.empty()) {
            return 0;
        }
        std::ranges::sort(ms);
        return ms[static_cast<std::size_t>(share * static_cast<double>(ms.size() - 1))];
    }
};

/// Runs `call` at a fixed total rate from several threads. Each thread keeps a schedule of its own, which a slow call
/// does not shift.
template <class Call>
latencies run_at_rate(int rate, int seconds, const Call& call)
{
    latencies all;
    std::mutex mutex;
    std::vector<std::thread> threads;
    threads.reserve(caller_threads);
    const auto interval =
        std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(double(caller_threads) / rate));
    const auto start = clock::now();
    for (int n = 0; n < caller_threads; ++n) {
        threads.emplace_back([&, n] {
            auto next = start + interval * n / caller_threads;
            const auto end = start + std::chrono::seconds(seconds);
            auto state = call.prepare(n);
            for (; next < end; next += interval) {
                std::this_thread::sleep_until(next);
                const auto call_start = clock::now();
                const bool succeeded = call.run(state);
                const double ms = milliseconds_f(clock::now() - call_start).count();
                const std::lock_guard lock(mutex);
                all.ms.push_back(ms);
                all.failed += succeeded ? 0 : 1;
            }
        });
    }
    std::ranges::for_each(threads, &std::thread::join);
    return all;
}

/// Calls through the entry process. Each thread opens a new program after 20 turns.
struct entry_call {
    std::string address;
    std::string key;
    std::string service;

    struct state {
        std::unique_ptr<httplib::Client> client;
        std::string program;
        int turn = 0;
    };

    state prepare(int /*number*/) const
    {
        state result;
        result.client = std::make_unique<httplib::Client>("http://" + address);
        result.client->set_keep_alive(true);
        result.client->set_tcp_nodelay(true);
        demo_caller caller({address}, key);
        result.program = caller.open(service).body.value("program", "");
        return result;
    }

    bool run(state& s) const
    {
        constexpr int turns_per_program = 20;
        if (s.turn == turns_per_program) {
            demo_caller caller({address}, key);
            s.program = caller.open(service).body.value("program", "");
            s.turn = 0;
        }
        const httplib::Headers headers{{"Authorization", "Bearer " + key},
                                       {"X-Program", s.program},
                                       {"X-Turn", std::to_string(++s.turn)},
                                       {"X-History", "new"}};
        const auto response = s.client->Post("/v1/chat/completions", headers,
                                             R"({"model":"allocation","max_tokens":4,)"
                                             R"("messages":[{"role":"user","content":"say 4 tokens"}]})",
                                             "application/json");
        return response && response->status == 200;
    }
};

/// The same calls, sent directly to the engine.
struct direct_engine_call {
    std::string address;

    struct state {
        std::unique_ptr<httplib::Client> client;
        int number = 0;
        int turn = 0;
    };

    state prepare(int number) const
    {
        state result;
        result.client = std::make_unique<httplib::Client>("http://" + address);
        result.client->set_keep_alive(true);
        result.client->set_tcp_nodelay(true);
        result.number = number;
        return result;
    }

    bool run(state& s) const
    {
        const std::string id = "direct-" + std::to_string(s.number) + '-' + std::to_string(++s.turn);
        const nlohmann::json body{{"model", "allocation"},
                                  {"stream", true},
                                  {"max_tokens", 4},
                                  {"program", "direct-" + std::to_string(s.number)},
                                  {"messages", {{{"role", "user"}, {"content", "say 4 tokens"}}}}};
        const auto response = s.client->Post("/v1/chat/completions", {{"X-Call-Id", id}, {"X-Priority", "2"}},
                                             body.dump(), "application/json");
        return response && response->status == 200;
    }
};

/// Opens `count` programs and returns their identifiers.
std::vector<std::string> open_programs(const std::string& address, const std::string& key, const std::string& service,
                                       int count)
{
    std::vector<std::string> programs;
    programs.reserve(static_cast<std::size_t>(count));
    demo_caller caller({address}, key);
    for (int n = 0; n < count; ++n) {
        programs.push_back(caller.open(service).body.value("program", ""));
    }
    return programs;
}

/// Runs one long stream in each of `count` programs concurrently. Returns the peak resident memory of the process in MB
/// and the number of streams that failed.
std::pair<double, int> run_concurrent_streams(const std::string& address, const std::string& key,
                                              const std::vector<std::string>& programs, int count, std::int64_t pid)
{
    std::atomic<int> failed{0};
    std::atomic<int> running{count};
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) {
        threads.emplace_back([&, n] {
            demo_caller caller({address}, key);
            turn_parameters parameters{programs[static_cast<std::size_t>(n)],
                                       "say " + std::to_string(stream_tokens) + " tokens", "interactive", 1,
                                       stream_tokens};
            failed += caller.turn(parameters).status == 200 ? 0 : 1;
            --running;
        });
    }
    double resident = 0;
    while (running > 0) {
        resident = std::max(resident, read_process_usage(pid).resident_mb);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    std::ranges::for_each(threads, &std::thread::join);
    return {resident, failed.load()};
}

int check(const char* name, double value, double bound)
{
    const bool met = value < bound;
    std::printf("%-44s %10.2f  bound %8.2f  %s\n", name, value, bound, met ? "met" : "NOT MET");
    return met ? 0 : 1;
}

} // namespace

int load_command(const std::vector<std::string>& arguments)
{
    const std::map<std::string, docopt::value> options = docopt::docopt(usage, arguments, true);
    const std::string entry = options.at("--entry").asString();
    const std::string key = options.at("--key").asString();
    const std::string service = options.at("--service").asString();
    const std::int64_t pid = options.at("--pid").asLong();
    const int rate = static_cast<int>(options.at("--rate").asLong());
    const int seconds = static_cast<int>(options.at("--seconds").asLong());
    const int streams = static_cast<int>(options.at("--streams").asLong());
    const int programs = static_cast<int>(options.at("--programs").asLong());

    std::printf("resident at the start                        %10.2f MB\n", read_process_usage(pid).resident_mb);
    latencies direct = run_at_rate(rate, seconds, direct_engine_call{options.at("--engine").asString()});
    const process_usage before = read_process_usage(pid);
    latencies via_entry = run_at_rate(rate, seconds, entry_call{entry, key, service});
    const process_usage after = read_process_usage(pid);
    std::printf("calls %zu direct (%d failed), %zu through the entry process (%d failed)\n", direct.ms.size(),
                direct.failed, via_entry.ms.size(), via_entry.failed);
    std::printf("median %.2f ms direct, %.2f ms through; p99 %.2f ms direct, %.2f ms through\n", direct.at(0.5),
                via_entry.at(0.5), direct.at(0.99), via_entry.at(0.99));
    std::printf("processor time for each call                 %10.3f ms\n",
                (after.cpu_s - before.cpu_s) * 1000 / static_cast<double>(via_entry.ms.size()));

    const auto opened = open_programs(entry, key, service, std::max(programs, streams));
    std::printf("resident with %5zu programs                 %10.2f MB\n", opened.size(),
                read_process_usage(pid).resident_mb);
    const auto [resident, failed_streams] = run_concurrent_streams(entry, key, opened, streams, pid);
    std::printf("streams that were not whole                  %10d of %d\n", failed_streams, streams);

    int failures = via_entry.failed + direct.failed + failed_streams > 0 ? 1 : 0;
    failures += check("added time, median (ms)", via_entry.at(0.5) - direct.at(0.5), max_added_median_ms);
    failures += check("added time, p99 (ms)", via_entry.at(0.99) - direct.at(0.99), max_added_p99_ms);
    failures += check("resident memory with all streams (MB)", resident, max_resident_mb);
    return failures == 0 ? 0 : 1;
}

} // namespace lagoonferry::bench
