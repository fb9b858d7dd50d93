// Case 6: the owner of a program's budget is killed and starts again a second later, while programs go on. Turns that
// the successor grants in the next two seconds are settled at the owner, which ignores the copies that name them.
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
    constexpr int programs = 60;
    constexpr int turns_before = 2;
    constexpr int think_ms = 180;
    constexpr int turns_in_series = 8;
    constexpr int tool_ms = 800;
    constexpr int restart_ms = 700;
    record out(args[2]);
    fleet system(gateways, args[1]);
    if (!system.start(out)) {
        system.nodes.clear();
        ::_exit(2);
    }
    process& killed = *system.nodes[0];
    std::vector<program> all = make_programs(programs);
    // Each program sends all its turns on one kept connection, to a gateway that is up all the time.
    const auto node_of = [&](const program& item) -> process& {
        return *system.nodes[1 + static_cast<std::size_t>(&item - all.data()) % (gateways - 1)];
    };

    for (program& item : all) {
        item.budget = 2'000;
        item.keeps_connection = true;
    }
    for_each_program(all, [&](program& item) {
        for (int n = 0; n < turns_before; ++n) {
            take_turn(item, node_of(item), out);
            sleep_ms(think_ms);
        }
    });
    if (trouble_wanted()) {
        killed.signal(SIGKILL);
        killed.wait();
        out.line("gateway " + killed.name() + " is killed");
    }
    std::thread loops([&] {
        for_each_program(all, [&](program& item) {
            // A series of short turns, a call of a tool, then turns until the budget is spent. Programs that loop
            // without end send a turn twice more after a 402.
            for (int n = 0; n < turns_in_series; ++n) {
                take_turn(item, node_of(item), out);
                sleep_ms(think_ms);
            }
            sleep_ms(tool_ms);
            for (int n = 0; n < 60 && item.refused < 3; ++n) {
                take_turn(item, node_of(item), out);
                sleep_ms(think_ms);
            }
        });
    });
    sleep_ms(restart_ms);
    if (trouble_wanted()) {
        killed.start(false);
        out.line("gateway " + killed.name() + " starts again");
    }
    loops.join();
    std::string result;
    const int over = check_budgets(all, out, result);
    std::cout << result << std::endl;
    system.nodes.clear(); // ends the processes
    ::_exit(over > 0 ? 1 : 0);
}
