// Case 10: a gateway freezes for 4 s while programs start whose budgets it would back up. It is back for 8 s; then the
// owner of the budgets is killed. The gateway takes these programs for new ones and grants their budgets again.
#include "programs.h"

#include <csignal>
#include <iostream>

#include <unistd.h>

using namespace rig;

int main(int count, char** args)
{
    if (count < 3) {
        return 2;
    }
    constexpr int gateways = 6;
    constexpr int programs = 120;
    constexpr int freeze_ms = 4'000;
    constexpr int back_ms = 8'000; // more than catchUpS
    constexpr int down_ms = 3'500;
    record out(args[2]);
    fleet system(gateways, args[1]);
    if (!system.start(out)) {
        system.nodes.clear();
        ::_exit(2);
    }
    process& frozen = *system.nodes[0];
    process& killed = *system.nodes[1];
    std::vector<program> all = make_programs(programs);
    // Clients use gateways that are up, in turn.
    std::atomic<std::size_t> next{0};
    const auto other_node = [&]() -> process& { return *system.nodes[2 + next++ % (gateways - 2)]; };

    const long frozen_at = now_ms();
    if (trouble_wanted()) {
        frozen.signal(SIGSTOP);
        out.line("gateway " + frozen.name() + " is frozen");
    }
    sleep_ms(2'800);
    for_each_program(all, [&](program& item) {
        for (int n = 0; n < 4; ++n) {
            take_turn(item, other_node(), out);
        }
    });
    out.line("the programs have taken their first turns");
    sleep_ms(static_cast<int>(std::max(0L, frozen_at + freeze_ms - now_ms())));
    if (trouble_wanted()) {
        frozen.signal(SIGCONT);
        out.line("gateway " + frozen.name() + " goes on");
    }
    sleep_ms(back_ms); // the programs were stopped; they return within retentionS
    if (trouble_wanted()) {
        killed.signal(SIGKILL);
        killed.wait();
        out.line("gateway " + killed.name() + " is killed");
    }
    sleep_ms(down_ms);
    if (trouble_wanted()) {
        killed.start(false);
        out.line("gateway " + killed.name() + " starts again");
    }
    for_each_program(all, [&](program& item) {
        for (int n = 0; n < 40 && item.refused < 3; ++n) {
            take_turn(item, other_node(), out);
        }
    });
    std::string result;
    const int over = check_budgets(all, out, result);
    std::cout << result << std::endl;
    system.nodes.clear(); // ends the processes
    ::_exit(over > 0 ? 1 : 0);
}
