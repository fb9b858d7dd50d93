// Engines are replaced one after the other. Every second one reports that it drains; the entries of the others are
// removed without that. All go on serving for some time. Meanwhile the gateway that reads the list of engines for the
// others is cut off from the store for some seconds, again and again. Rule: DRAIN.

#include "scene.h"

#include <algorithm>
#include <csignal>

using namespace rig;

namespace {

constexpr int gateways = 4;
constexpr int engines_at_a_time = 6;
constexpr double drain_s = 2.0; ///< drainMs
constexpr int replace_ms = 750; ///< between two engines, as gap_s of a release
constexpr int ended_after = 6;  ///< an engine ends when this many more were replaced, after 4.5 s
constexpr int cut_ms = 4'000;
constexpr int calm_ms = 1'500; ///< between two cuts
constexpr double length_s = 98;

struct sent {
    std::size_t gateway;
    double at;
};

} // namespace

int main(int argc, char** argv)
{
    scene all(argc > 1 ? argv[1] : "review/13", gateways, 0, 0);
    deployment& fleet = all.fleet;
    all.platform.set_callers([&fleet] {
        std::vector<pid_t> pids;
        for (const machine& item : fleet.machines) {
            pids.push_back(item.pid);
        }
        return pids;
    });
    std::mutex mutex;
    std::map<std::string, double> leaving_since;
    std::map<std::string, sent> requests;
    int next = 0;
    const auto add_engine = [&] {
        engine::options item;
        item.id = "i-" + std::to_string(next);
        item.ip = "127.73.100." + std::to_string(++next);
        item.port = fleet.front_port;
        item.slots = 6;
        item.work_ms = 10;
        const std::lock_guard lock(mutex);
        all.engines.push_back(std::make_unique<engine>(item));
        all.platform.put("servers/" + item.id, engine_entry(item, "app", 1));
    };
    for (int n = 0; n < engines_at_a_time; ++n) {
        add_engine();
    }
    fleet.start_all();
    if (!fleet.wait_all_ready(20000)) {
        record("the gateways did not become ready");
        fleet.finish(not_run);
    }
    sleep_ms(4000);
    std::atomic<bool> stop{false};
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
    for (int n = 0; n < 8; ++n) {
        threads.emplace_back([&, n] {
            for (std::size_t k = static_cast<std::size_t>(n); !stop; ++k) {
                const std::size_t gateway = k % gateways;
                const std::string id = new_request_id();
                {
                    const std::lock_guard lock(mutex);
                    requests[id] = {gateway, seconds_since_start()};
                }
                const auto reply =
                    send_request(fleet.machines[gateway].ip, fleet.front_port, "GET", safe_path,
                                 {{"Lagoonferry-Request-Id", id}, {"Lagoonferry-Deadline-Ms", "1200"}}, "", 2000);
                served += reply.status == 200 ? 1 : 0;
                sleep_ms(10);
            }
        });
    }
    threads.emplace_back([&] {
        for (int old = 0; !stop; ++old) {
            sleep_ms(replace_ms);
            add_engine();
            const std::string id = "i-" + std::to_string(old);
            const std::string key = "servers/" + id;
            if (old % 2 == 0) {
                all.platform.remove(key);
            }
            else {
                all.platform.put(
                    key, engine_entry(all.engines[static_cast<std::size_t>(old)]->values(), "app", 2, "draining"));
            }
            {
                const std::lock_guard lock(mutex);
                leaving_since[id] = seconds_since_start();
            }
            if (old >= ended_after) {
                // It has served for drainMs and some seconds more.
                const std::lock_guard lock(mutex);
                all.engines[static_cast<std::size_t>(old - ended_after)]->end();
            }
            if (old >= 4) {
                all.platform.remove("servers/i-" + std::to_string(old - 4)); // it has drained and left
            }
        }
    });
    std::vector<bool> was_cut(gateways, false);
    int cuts = 0;
    while (seconds_since_start() < length_s) {
        sleep_ms(calm_ms);
        if (!with_trouble()) {
            continue;
        }
        const pid_t reader = all.platform.reader;
        const auto it = std::ranges::find(fleet.machines, reader, &machine::pid);
        if (it == fleet.machines.end()) {
            record("no reader is known");
            continue;
        }
        was_cut[static_cast<std::size_t>(it - fleet.machines.begin())] = true;
        all.platform.cut = reader;
        record(it->name + " is cut off from the store for " + std::to_string(cut_ms) + " ms");
        sleep_ms(cut_ms);
        all.platform.cut = 0;
        ++cuts;
    }
    sleep_ms(3500);
    stop = true;
    for (auto& item : threads) {
        item.join();
    }
    int late = 0;
    int late_elsewhere = 0;
    for (const run& item : all.runs()) {
        const auto leaving = leaving_since.find(item.engine);
        const auto from = requests.find(item.request);
        if (leaving == leaving_since.end() || from == requests.end() || item.at <= leaving->second + drain_s) {
            continue;
        }
        const bool in_touch = !was_cut[from->second.gateway];
        late += in_touch ? 1 : 0;
        late_elsewhere += in_touch ? 0 : 1;
        char text[200];
        std::snprintf(text, sizeof text, "LATE  %s reaches %s %.3f s after its leaving was acknowledged, from %s (%s)",
                      item.request.c_str(), item.engine.c_str(), item.at - leaving->second,
                      fleet.machines[from->second.gateway].name.c_str(),
                      in_touch ? "in touch all the time" : "was cut off");
        record(text);
    }
    record(std::to_string(served) + " requests served, " + std::to_string(leaving_since.size()) +
           " engines replaced, " + std::to_string(cuts) +
           " cuts; later than drainMs at an engine: " + std::to_string(late) +
           " from gateways that were never cut off, " + std::to_string(late_elsewhere) + " from others");
    fleet.finish(late > 0 ? broken : held);
}
