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
constexpr milliseconds freeze_time{4'000};

asio::awaitable<void> run_all(lab& self, program_client& client, std::vector<program>& programs, int most)
{
    std::size_t running = programs.size();
    const auto one = [&](program& item) -> asio::awaitable<void> {
        co_await client.run_until_spent(item, most);
        --running;
    };
    for (program& item : programs) {
        spawn(self.loop(), one(item), "program");
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
        programs.push_back({"p" + std::to_string(n), 1'080, 135});
    }
    program_client client(self);
    int failures = 0;
    self.run([&]() -> asio::awaitable<void> {
        self.start_gateways();
        co_await pause(self.loop(), milliseconds(8'000));
        self.record.line("each program runs its first turn");
        co_await run_all(self, client, programs, 1);
        const gateway& frozen = *self.gateways[2];
        if (with_trouble) {
            frozen.send_signal(SIGSTOP);
            self.record.line(frozen.name() + " freezes");
        }
        co_await pause(self.loop(), milliseconds(2'700));
        co_await client.refresh();
        self.record.line("the programs go on until their budgets are spent");
        const deadline thaw = deadline_after(freeze_time - milliseconds(2'700));
        co_await run_all(self, client, programs, 100);
        co_await pause(self.loop(), std::max(milliseconds(0), time_left(thaw)));
        if (with_trouble) {
            frozen.send_signal(SIGCONT);
            self.record.line(frozen.name() + " wakes");
        }
        co_await pause(self.loop(), milliseconds(6'000));
        co_await client.refresh();
        self.record.line("the programs that were stopped return");
        co_await run_all(self, client, programs, 100);
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
