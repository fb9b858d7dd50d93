#include "programs.h"
#include "scenarios.h"

#include "net/pause.h"
#include "net/spawn.h"

#include <csignal>
#include <iostream>

namespace lagoonferry::review {

namespace {

constexpr int gateway_count = 8;
constexpr int program_count = 64;
constexpr std::size_t stopped_gateways = 4; ///< of 8, so 0.5; the largest share in the site file is 0.511
constexpr int early_turns = 2;              ///< turns before the restarts of programs that go on later
constexpr milliseconds gap{1'450};          ///< between the stops of two machines
constexpr milliseconds stop_grace{8'000};   ///< from SIGTERM to SIGKILL
constexpr milliseconds restart_delay{300};  ///< from the end of a process to its next start

asio::awaitable<void> restart(lab& self, gateway& item)
{
    item.send_signal(SIGTERM);
    self.record.line(item.name() + " gets SIGTERM");
    const deadline kill_at = deadline_after(stop_grace);
    while (item.running() && loop_clock::now() < kill_at) {
        co_await pause(self.loop(), milliseconds(50));
    }
    item.kill_and_wait();
    co_await pause(self.loop(), restart_delay);
    item.start(false);
    self.record.line(item.name() + " starts again");
}

} // namespace

int run_rolling_stop(const std::string& folder, bool with_trouble)
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
    std::size_t running = 0;
    const auto one = [&](program& item, int most) -> asio::awaitable<void> {
        co_await client.run_until_spent(item, most);
        --running;
    };
    const auto run_all = [&](bool before_restarts) -> asio::awaitable<void> {
        running = programs.size();
        for (std::size_t n = 0; n < programs.size(); ++n) {
            // Every second program pauses after a few turns; the others spend their budgets and return later.
            const int most = before_restarts && n % 2 == 0 ? early_turns : 100;
            spawn(self.loop(), one(programs[n], most), "program");
        }
        while (running > 0) {
            co_await pause(self.loop(), milliseconds(50));
        }
    };
    self.run([&]() -> asio::awaitable<void> {
        self.start_gateways();
        co_await pause(self.loop(), milliseconds(8'000));
        self.record.line("the programs run");
        co_await run_all(true);
        for (std::size_t n = 0; n < stopped_gateways; ++n) {
            if (with_trouble) {
                spawn(self.loop(), restart(self, *self.gateways[n]), "restart");
            }
            co_await pause(self.loop(), gap);
        }
        co_await client.refresh();
        self.record.line("the programs go on or return");
        co_await run_all(false);
    });
    int served = 0;
    int failures = 0;
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
