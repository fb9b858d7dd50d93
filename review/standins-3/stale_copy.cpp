// Programs run some turns. One gateway machine is stopped and started in order, as in a rolling upgrade. The programs
// run more turns. Then that machine and one more are killed at the same moment. The programs go on until their budget
// is spent. Rule: BUDGET.

#include "scene.h"

#include <csignal>

using namespace rig;

namespace {

constexpr int gateways = 5;
constexpr int programs = 40;
constexpr int turn_tokens = 30;
constexpr int budget = 20 * turn_tokens;
constexpr int turns_before = 2;
constexpr int turns_between = 4;

/// Sends a number of turns of each program, the programs side by side. `from` holds the gateways in use.
void run_turns(scene& all, std::vector<std::unique_ptr<program>>& list, int count, const std::vector<std::size_t>& from)
{
    std::vector<std::thread> clients;
    for (std::size_t n = 0; n < list.size(); ++n) {
        clients.emplace_back([&, n] {
            program& item = *list[n];
            for (int turn = 0, tries = 0; turn < count && tries < 3 * count && item.spent == 0; ++tries) {
                const int status =
                    item.turn(all.fleet, from[(n + static_cast<std::size_t>(tries)) % from.size()], "main");
                turn += status == 200 ? 1 : 0;
                if (status != 200 && status != 402) {
                    sleep_ms(300);
                }
            }
        });
    }
    for (auto& item : clients) {
        item.join();
    }
}

int judge(const std::vector<std::unique_ptr<program>>& list)
{
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
    return over > 0 ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    scene all(argc > 1 ? argv[1] : "review/12", gateways, 4, 1);
    deployment& fleet = all.fleet;
    fleet.start_all();
    if (!fleet.wait_all_ready(20000)) {
        record("the gateways did not become ready");
        fleet.finish(not_run);
    }
    sleep_ms(5000);
    std::vector<std::unique_ptr<program>> list;
    for (int n = 0; n < programs; ++n) {
        list.push_back(std::make_unique<program>());
        char id[16];
        std::snprintf(id, sizeof id, "3fa8%02x", n);
        list.back()->id = id;
        list.back()->budget = budget;
        list.back()->turn_tokens = turn_tokens;
    }
    std::vector<std::size_t> everyone;
    for (std::size_t n = 0; n < fleet.machines.size(); ++n) {
        everyone.push_back(n);
    }
    const std::size_t first = 0;
    const std::size_t second = 1;
    const std::vector<std::size_t> others{2, 3, 4};
    record("each program runs " + std::to_string(turns_before) + " turns");
    run_turns(all, list, turns_before, everyone);
    if (with_trouble()) {
        record("SIGTERM to " + fleet.machines[first].name);
        fleet.signal(first, SIGTERM);
        if (!fleet.wait_end(first, 9000)) {
            record("it did not end in time");
            fleet.finish(not_run);
        }
        record("it has ended and is started again");
        fleet.start(first);
        if (!fleet.wait_ready(first, 10000)) {
            fleet.finish(not_run);
        }
        sleep_ms(5000);
    }
    record("each program runs " + std::to_string(turns_between) + " more turns");
    run_turns(all, list, turns_between, everyone);
    sleep_ms(1500);
    if (with_trouble()) {
        record("SIGKILL to " + fleet.machines[first].name + " and " + fleet.machines[second].name);
        fleet.signal(first, SIGKILL);
        fleet.signal(second, SIGKILL);
        fleet.wait_end(first, 2000);
        fleet.wait_end(second, 2000);
        sleep_ms(1000);
        fleet.start(first);
        fleet.start(second);
        sleep_ms(4000);
    }
    record("each program runs turns until its budget is spent");
    run_turns(all, list, 40, with_trouble() ? others : everyone);
    fleet.finish(judge(list));
}
