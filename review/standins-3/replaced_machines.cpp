// Gateway machines are removed for good one after the other, and each time an empty one comes at another address.
// After the last replacement all machines are left alone for a while. Then new programs run turns until they are told
// that their budget is spent. Rule: DENIED.

#include "scene.h"

#include <csignal>

using namespace rig;

namespace {

constexpr int gateways = 3;
constexpr int replacements = 4;
constexpr int programs = 20;
constexpr int turn_tokens = 30;
constexpr int budget = 20 * turn_tokens;
constexpr int pause_ms = 2'000;   ///< between replacements
constexpr int settle_ms = 78'000; ///< after the last one; the record of a program is kept for 75 s

} // namespace

int main(int argc, char** argv)
{
    scene all(argc > 1 ? argv[1] : "review/15", gateways, 4, 1);
    deployment& fleet = all.fleet;
    fleet.start_all();
    if (!fleet.wait_all_ready(20000)) {
        record("the gateways did not become ready");
        fleet.finish(not_run);
    }
    sleep_ms(3000);
    std::vector<std::size_t> live{0, 1, 2};
    for (int n = 0; n < replacements && with_trouble(); ++n) {
        const std::size_t old = live.front();
        live.erase(live.begin());
        fleet.signal(old, SIGKILL);
        fleet.wait_end(old, 2000);
        sleep_ms(1000);
        machine fresh;
        fresh.zone = fleet.machines[old].zone;
        fresh.name = "front-" + fresh.zone + "-" + std::to_string(n + 10);
        fresh.ip = "127.73.0." + std::to_string(n + 10);
        fresh.starts = 1; // `bootstrap` is true only at the first start of the whole system
        fleet.machines.push_back(fresh);
        live.push_back(fleet.machines.size() - 1);
        fleet.start(live.back());
        if (!fleet.wait_ready(live.back(), 10000)) {
            record("the new machine did not become ready");
            fleet.finish(not_run);
        }
        record(fleet.machines[old].name + " is gone for good, " + fresh.name + " has come at " + fresh.ip);
        sleep_ms(pause_ms);
    }
    sleep_ms(settle_ms);
    record("new programs begin");
    std::vector<std::unique_ptr<program>> list;
    std::vector<std::thread> clients;
    for (int n = 0; n < programs; ++n) {
        list.push_back(std::make_unique<program>());
        char id[16];
        std::snprintf(id, sizeof id, "77d2%02x", n);
        list.back()->id = id;
        list.back()->budget = budget;
        list.back()->turn_tokens = turn_tokens;
        clients.emplace_back([&, n] {
            program& item = *list[static_cast<std::size_t>(n)];
            for (std::size_t turn = 0; turn < 40 && item.spent == 0; ++turn) {
                if (item.turn(fleet, live[(static_cast<std::size_t>(n) + turn) % live.size()], "main") != 200) {
                    sleep_ms(300);
                }
            }
        });
    }
    for (auto& item : clients) {
        item.join();
    }
    int requests = 0;
    int denied = 0;
    for (const auto& item : list) {
        requests += item->whole + item->spent + item->other;
        // One turn runs at a time and all ended whole, so what reached the client is all that was used.
        const bool early = item->spent > 0 && item->tokens + item->turn_tokens <= item->budget;
        denied += early ? item->spent.load() : 0;
        record((early ? "EARLY " : "ok    ") + item->id + ": answer 402 after " + std::to_string(item->tokens.load()) +
               " tokens, budget " + std::to_string(item->budget) + ", most of one turn " +
               std::to_string(item->turn_tokens) + ", other answers: " + std::to_string(item->other.load()));
    }
    record(std::to_string(denied) + " of " + std::to_string(requests) +
           " requests were answered 402 although the budget held one more turn; allowed: " +
           std::to_string(5 + requests / 500));
    fleet.finish(denied > 5 + requests / 500 ? broken : held);
}
