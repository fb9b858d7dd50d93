// Many clients come at once, each with one request whose body is within `maxBodyBytes`. As on the users' machines, a
// process that uses more than `memoryMb` is killed and started again after a short delay. Rule: Fault.

#include "scene.h"

#include <csignal>
#include <cstring>
#include <fstream>
#include <set>

using namespace rig;

namespace {

constexpr int gateways = 3;
constexpr int memory_mb = 110;
constexpr int rounds = 3;
constexpr int clients_per_gateway = 24;
constexpr int body_bytes = 4'000'000; // maxBodyBytes is 4,194,304

/// Returns the most memory that a process has used so far, in KB.
long peak_kb(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::strtol(line.c_str() + std::strlen("VmHWM:"), nullptr, 10);
        }
    }
    return 0;
}

struct outcome {
    std::string request;
    int status = 0;
};

} // namespace

int main(int argc, char** argv)
{
    scene all(argc > 1 ? argv[1] : "review/13", gateways, 1, 4, memory_mb);
    deployment& fleet = all.fleet;
    fleet.start_all();
    if (!fleet.wait_all_ready(20000)) {
        record("the gateways did not become ready");
        fleet.finish(not_run);
    }
    sleep_ms(3000);
    std::vector<int> kills(gateways, 0);
    std::mutex mutex;
    std::vector<outcome> outcomes;
    const std::string body(body_bytes, 'b');
    const auto post = [&](std::size_t gateway) {
        outcome item{new_request_id()};
        item.status =
            send_request(fleet.machines[gateway].ip, fleet.front_port, "POST", unsafe_path,
                         {{"Lagoonferry-Request-Id", item.request}, {"Lagoonferry-Deadline-Ms", "3000"}}, body, 4000)
                .status;
        const std::lock_guard lock(mutex);
        outcomes.push_back(item);
    };
    for (int round = 0; round < rounds; ++round) {
        std::vector<long> peaks(gateways, 0);
        std::atomic<bool> over{false};
        // The platform's limit on memory.
        std::thread limit([&] {
            while (!over) {
                for (std::size_t n = 0; n < gateways; ++n) {
                    if (!fleet.running(n)) {
                        continue;
                    }
                    peaks[n] = peak_kb(fleet.machines[n].pid);
                    if (peaks[n] > memory_mb * 1024L) {
                        fleet.signal(n, SIGKILL);
                        fleet.wait_end(n, 2000);
                        ++kills[n];
                    }
                }
                sleep_ms(1);
            }
        });
        std::vector<std::thread> clients;
        for (std::size_t n = 0; n < gateways; ++n) {
            if (with_trouble()) {
                for (int k = 0; k < clients_per_gateway; ++k) {
                    clients.emplace_back(post, n);
                }
            }
            else {
                clients.emplace_back([&, n] {
                    for (int k = 0; k < clients_per_gateway; ++k) {
                        post(n);
                    }
                });
            }
        }
        for (auto& item : clients) {
            item.join();
        }
        sleep_ms(200);
        over = true;
        limit.join();
        for (std::size_t n = 0; n < gateways; ++n) {
            record("round " + std::to_string(round + 1) + ": " + fleet.machines[n].name + " has used up to " +
                   std::to_string(peaks[n] / 1024) + " MB" + (fleet.running(n) ? "" : ", over its limit: killed"));
            if (!fleet.running(n)) {
                sleep_ms(500);
                fleet.start(n);
            }
        }
        if (!fleet.wait_all_ready(10000)) {
            fleet.finish(not_run);
        }
        sleep_ms(4000);
    }
    std::set<std::string> ran;
    for (const run& item : all.runs()) {
        ran.insert(item.request);
    }
    int answered = 0;
    int unanswered = 0;
    int ran_unanswered = 0;
    for (const outcome& item : outcomes) {
        answered += item.status == 200 ? 1 : 0;
        unanswered += item.status == 0 ? 1 : 0;
        ran_unanswered += item.status == 0 && ran.contains(item.request) ? 1 : 0;
    }
    record(std::to_string(outcomes.size()) + " requests: " + std::to_string(answered) + " answered 200, " +
           std::to_string(unanswered) + " ended without an answer, of which " + std::to_string(ran_unanswered) +
           " had run");
    int machines = 0;
    for (std::size_t n = 0; n < gateways; ++n) {
        record(fleet.machines[n].name + " ended " + std::to_string(kills[n]) + " times");
        machines += kills[n] >= 3 ? 1 : 0;
    }
    fleet.finish(machines >= 2 ? broken : held);
}
