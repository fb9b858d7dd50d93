#include "programs.h"
#include "scenarios.h"

#include "net/pause.h"
#include "net/spawn.h"

#include <csignal>
#include <iostream>

namespace lagoonferry::review {

namespace {

constexpr int gateway_count = 8;
constexpr int program_count = 28;
constexpr int lines_per_program = 3; ///< sub-agents that run turns at the same time
constexpr std::uint64_t turn_tokens = 45;
constexpr std::uint64_t budget = 8 * turn_tokens;
constexpr milliseconds freeze_time{4'000};
constexpr milliseconds program_pause{2'500}; ///< between the first turn of a program and its next ones

/// Wakes the gateway after the freeze, whatever the programs do meanwhile.
asio::awaitable<void> wake_later(lab& self, const gateway& frozen)
{
    co_await pause(self.loop(), freeze_time);
    frozen.send_signal(SIGCONT);
    self.record.line(frozen.name() + " wakes");
}

asio::awaitable<void> run_all(lab& self, program_client& client, std::vector<program>& programs, int lines, int most)
{
    std::size_t running = programs.size() * static_cast<std::size_t>(lines);
    const auto one = [&](program& item) -> asio::awaitable<void> {
        co_await client.run_until_spent(item, most);
        --running;
    };
    for (program& item : programs) {
        for (int n = 0; n < lines; ++n) {
            spawn(self.loop(), one(item), "line of turns");
        }
    }
    while (running > 0) {
        co_await pause(self.loop(), milliseconds(50));
    }
}

} // namespace

int run_frozen_owner(const std::string& folder, bool with_trouble)
{
    lab self(folder, gateway_count);
    for (int n = 0; n < 4; ++n) {
        self.engines.push_back(std::make_unique<engine>(self, "i-" + std::to_string(n), "modelli"));
    }
    std::vector<program> programs;
    for (int n = 0; n < program_count; ++n) {
        programs.push_back({"p" + std::to_string(n), budget, turn_tokens});
    }
    program_client client(self);
    int failures = 0;
    self.run([&]() -> asio::awaitable<void> {
        self.start_gateways();
        co_await pause(self.loop(), milliseconds(8'000));
        self.record.line("each program runs its first turn");
        co_await run_all(self, client, programs, 1, 1);
        const gateway& frozen = *self.gateways[2];
        const deadline thaw = deadline_after(freeze_time);
        if (with_trouble) {
            frozen.send_signal(SIGSTOP);
            self.record.line(frozen.name() + " freezes");
            spawn(self.loop(), wake_later(self, frozen), "wake");
        }
        co_await pause(self.loop(), program_pause);
        co_await client.refresh();
        self.record.line("the programs go on until their budgets are spent");
        co_await run_all(self, client, programs, lines_per_program, 100);
        self.record.line("all programs were stopped");
        co_await pause(self.loop(), time_left(thaw));
        co_await pause(self.loop(), milliseconds(6'000));
        co_await client.refresh();
        self.record.line("the programs that were stopped return");
        co_await run_all(self, client, programs, lines_per_program, 100);
    });
    int served = 0;
    for (const program& item : programs) {
        served += item.served_turns;
        const bool broken = item.handed > item.budget + item.turn_tokens;
        failures += broken ? 1 : 0;
        self.record.line("program " + item.id + ": " + std::to_string(item.handed) + " tokens, budget " +
                         std::to_string(item.budget) + " + one turn of " + std::to_string(item.turn_tokens) +
                         (broken ? ": BUDGET broken" : ""));
    }
    std::cout << failures << " of " << programs.size() << " programs got more than their budget and one turn, "
              << served << " turns served\n";
    if (served < program_count) {
        return 2;
    }
    return failures > 0 ? 1 : 0;
}

} // namespace lagoonferry::review
