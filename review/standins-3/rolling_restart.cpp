// All gateway machines are stopped and started in turn, as in a rolling upgrade, and then left alone for longer than
// contactMs. Then new programs run turns until they are told that their budget is spent. Rule: DENIED.

#include "scene.h"

#include <csignal>

using namespace rig;

namespace {

constexpr int gateways = 5;
constexpr int programs = 20;
constexpr int turn_tokens = 30;
constexpr int budget = 20 * turn_tokens;
constexpr int pause_ms = 1'000;   ///< between two machines
constexpr int settle_ms = 10'000; ///< after the last one; contactMs is 3,000 and catchUpS is 4

} // namespace

int main(int argc, char** argv)
{
    scene all(argc > 1 ? argv[1] : "review/14", gateways, 4, 1);
    deployment& fleet = all.fleet;
    fleet.start_all();
    if (!fleet.wait_all_ready(20000)) {
        record("the gateways did not become ready");
        fleet.finish(not_run);
    }
    sleep_ms(3000);
    for (std::size_t n = 0; n < fleet.machines.size() && with_trouble(); ++n) {
        fleet.signal(n, SIGTERM);
        if (!fleet.wait_end(n, 9000)) {
            record(fleet.machines[n].name + " did not end in time");
            fleet.finish(not_run);
        }
        sleep_ms(500);
        fleet.start(n);
        if (!fleet.wait_ready(n, 10000)) {
            record("it did not become ready again");
            fleet.finish(not_run);
        }
        record(fleet.machines[n].name + " has ended after SIGTERM, and is started and ready again");
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
                if (item.turn(fleet, (static_cast<std::size_t>(n) + turn) % fleet.machines.size(), "main") != 200) {
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
