// Case 8: the owner of a program's budget freezes for 4 s while the program pauses. After its return the tokens that
// the successor granted are forgotten, and the program gets them a second time.
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
    constexpr int programs = 24;
    constexpr int freeze_ms = 4'000;
    constexpr int pause_ms = 2'900;
    record out(args[2]);
    fleet system(gateways, args[1]);
    if (!system.start(out)) {
        system.nodes.clear();
        ::_exit(2);
    }
    std::vector<program> all = make_programs(programs);
    // Clients use the other gateways, in turn: they have taken the silent address out of use.
    std::atomic<std::size_t> next{0};
    const auto other_node = [&]() -> process& { return *system.nodes[1 + next++ % (gateways - 1)]; };

    for_each_program(all, [&](program& item) { take_turn(item, other_node(), out); });
    if (std::ranges::any_of(all, [](const program& item) { return item.tokens != turn_tokens; })) {
        out.line("a first turn was not served");
        system.nodes.clear();
        ::_exit(2);
    }
    sleep_ms(1'000);
    const long frozen_at = now_ms();
    if (trouble_wanted()) {
        system.nodes[0]->signal(SIGSTOP);
        out.line("gateway front-0 is frozen");
    }
    sleep_ms(pause_ms); // the programs pause between two turns, for their tools
    for_each_program(all, [&](program& item) {
        for (int n = 0; n < 7 && now_ms() < frozen_at + freeze_ms - 100; ++n) {
            take_turn(item, other_node(), out);
        }
    });
    sleep_ms(static_cast<int>(std::max(0L, frozen_at + freeze_ms - now_ms())));
    if (trouble_wanted()) {
        system.nodes[0]->signal(SIGCONT);
        out.line("gateway front-0 goes on");
    }
    sleep_ms(5'000); // it is in touch again
    for_each_program(all, [&](program& item) {
        // Programs that loop without end: they send a turn twice more after a 402.
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
