// Programs run one turn each. One gateway machine then stands still for a little more than a second. Meanwhile the
// sub-agents of each program go on at all gateways, also at the one that stands still, until the budget is spent.
// Rule: BUDGET.

#include "scene.h"

#include <csignal>
#include <cstdlib>

using namespace rig;

namespace {

constexpr int gateways = 5;
constexpr int programs = 24;
constexpr int turn_tokens = 30;
constexpr int budget = 20 * turn_tokens;
constexpr std::size_t frozen = 0;
constexpr int agents_at_frozen = 6;
constexpr int agents_elsewhere = 4;
constexpr int default_freeze_ms = 1'000;

} // namespace

int main(int argc, char** argv)
{
    scene all(argc > 1 ? argv[1] : "review/11", gateways, 4, 1);
    const int freeze_ms = argc > 2 ? std::atoi(argv[2]) : default_freeze_ms;
    deployment& fleet = all.fleet;
    fleet.start_all();
    if (!fleet.wait_all_ready(20000)) {
        record("the gateways did not become ready");
        fleet.finish(not_run);
    }
    sleep_ms(5000);
    std::vector<std::unique_ptr<program>> list;
    std::vector<std::thread> first_turns;
    for (int n = 0; n < programs; ++n) {
        list.push_back(std::make_unique<program>());
        char id[16];
        std::snprintf(id, sizeof id, "5be1%02x", n);
        list.back()->id = id;
        list.back()->budget = budget;
        list.back()->turn_tokens = turn_tokens;
        first_turns.emplace_back(
            [&, n] { list[static_cast<std::size_t>(n)]->turn(fleet, 1 + static_cast<std::size_t>(n) % 4, "main"); });
    }
    for (auto& item : first_turns) {
        item.join();
    }
    record("each program has run one turn");
    sleep_ms(500);
    if (with_trouble()) {
        record("SIGSTOP to " + fleet.machines[frozen].name);
        fleet.signal(frozen, SIGSTOP);
    }
    std::vector<std::thread> agents;
    for (const auto& owner : list) {
        program* item = owner.get();
        for (int n = 0; n < agents_at_frozen; ++n) {
            agents.emplace_back([&fleet, item, n] { item->turn(fleet, frozen, "a" + std::to_string(n)); });
        }
        for (int n = 0; n < agents_elsewhere; ++n) {
            agents.emplace_back([&fleet, item, n] {
                for (int tries = 0; tries < 40; ++tries) {
                    const int status = item->turn(fleet, 1 + static_cast<std::size_t>(n), "b" + std::to_string(n));
                    if (status == 402) {
                        break;
                    }
                    if (status != 200) {
                        sleep_ms(300);
                    }
                }
            });
        }
    }
    if (with_trouble()) {
        sleep_ms(freeze_ms);
        record("SIGCONT to it after " + std::to_string(freeze_ms) + " ms");
        fleet.signal(frozen, SIGCONT);
    }
    for (auto& item : agents) {
        item.join();
    }
    int over = 0;
    for (const auto& item : list) {
        const bool breaks = item->tokens > item->budget + item->turn_tokens;
        over += breaks ? 1 : 0;
        record((breaks ? "OVER  " : "ok    ") + item->id + ": " + std::to_string(item->tokens.load()) +
               " tokens reached the client, budget " + std::to_string(item->budget) + ", most of one turn " +
               std::to_string(item->turn_tokens) + ", answers 402: " + std::to_string(item->spent.load()) +
               ", other: " + std::to_string(item->other.load()));
    }
    record(std::to_string(over) + " of " + std::to_string(list.size()) + " programs got more than budget + one turn");
    fleet.finish(over > 0 ? broken : held);
}
