// Case 7: two gateways are stopped in turn, 1.3 s apart, while programs pause. The first one hands the records of their
// budgets to the second one only; the second one ends without handing them on, and a third takes the programs for new
// ones.
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
    constexpr int gateways = 5;
    constexpr int programs = 120;
    constexpr int gap_ms = 1'300;
    constexpr int grace_ms = 8'000;
    record out(args[2]);
    fleet system(gateways, args[1]);
    if (!system.start(out)) {
        system.nodes.clear();
        ::_exit(2);
    }
    std::vector<program> all = make_programs(programs);
    // Clients use the gateways that are not stopped, in turn.
    std::atomic<std::size_t> next{0};
    const auto other_node = [&]() -> process& { return *system.nodes[2 + next++ % (gateways - 2)]; };

    for_each_program(all, [&](program& item) {
        for (int n = 0; n < 4; ++n) {
            take_turn(item, other_node(), out);
        }
    });
    out.line("the programs have taken their first turns and pause");
    sleep_ms(3'000);
    // As in `roll_term`, one machine after the other gets SIGTERM.
    for (int n = 0; n < 2 && trouble_wanted(); ++n) {
        process& node = *system.nodes[static_cast<std::size_t>(n)];
        node.signal(SIGTERM);
        out.line("gateway " + node.name() + " gets SIGTERM");
        sleep_ms(gap_ms);
    }
    if (!trouble_wanted()) {
        sleep_ms(2 * gap_ms);
    }
    sleep_ms(1'000);
    for_each_program(all, [&](program& item) {
        for (int n = 0; n < 40 && item.refused < 3; ++n) {
            take_turn(item, other_node(), out);
        }
    });
    std::string result;
    const int over = check_budgets(all, out, result);
    std::cout << result << std::endl;
    if (trouble_wanted()) {
        sleep_ms(grace_ms);
    }
    system.nodes.clear(); // ends the processes
    ::_exit(over > 0 ? 1 : 0);
}
