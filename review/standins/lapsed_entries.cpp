#include "lab.h"
#include "scenarios.h"

#include "net/pause.h"
#include "net/spawn.h"
#include "platform/wire_names.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>
#include <set>

namespace lagoonferry::review {

namespace {

constexpr int gateway_count = 8;
constexpr int engine_count = 9;
constexpr int losing_engines = 4;  ///< of the engines, that lose answers
constexpr double loss_rate = 0.05; ///< of the answers of these engines
constexpr milliseconds outage{4'500};
constexpr milliseconds lapse_after{3'600}; ///< three beat intervals
constexpr int outages = 6;
constexpr milliseconds between_requests{14};
constexpr std::size_t allowed = 3; ///< requests that may run on more engines than `maxAttempts`

} // namespace

int run_lapsed_entries(const std::string& folder, bool with_trouble)
{
    lab self(folder, gateway_count);
    std::minstd_rand random(4711);
    const char* without_outage = std::getenv("WITHOUT_OUTAGE"); // only the lost answers, to find the cause
    bool losing = false;
    const auto chance = [&random](double p) { return std::uniform_real_distribution<double>(0, 1)(random) < p; };
    for (int n = 0; n < engine_count; ++n) {
        self.engines.push_back(std::make_unique<engine>(self, "i-" + std::to_string(n), "modelli"));
        if (n < losing_engines) {
            self.engines.back()->before = [&](tcp::socket& socket,
                                              const engine_call&) -> asio::awaitable<std::optional<bool>> {
                if (!losing || !chance(loss_rate)) {
                    co_return std::nullopt;
                }
                co_await pause(self.loop(), milliseconds(60)); // the engine works on it, then its answer is lost
                soak::reset_connection(socket);
                co_return false;
            };
        }
    }
    std::vector<std::string> fronts;
    bool stop = false;
    std::size_t running = 0;
    int served = 0;
    int sent = 0;
    const auto one = [&](std::string address) -> asio::awaitable<void> {
        ++running;
        call_spec spec;
        spec.method = "POST";
        spec.path = "/turns/x";
        spec.id = self.next_id("r-");
        spec.body = "prompt of " + spec.id;
        spec.headers = {{"Lagoonferry-Token-Count", "1840,33"}};
        const answer got = co_await self.send(address, spec);
        served += got.status == 200 && got.complete ? 1 : 0;
        ++sent;
        self.record.line("client " + spec.id + " by " + address + ": status " + std::to_string(got.status) + ", " +
                         std::to_string(got.events) + " events" + (got.complete ? "" : ", broken off"));
        --running;
    };
    const auto traffic = [&]() -> asio::awaitable<void> {
        while (!stop) {
            const std::string address = fronts[random() % fronts.size()];
            spawn(self.loop(), one(address), "request");
            co_await pause(self.loop(), between_requests);
        }
    };
    const auto return_entry = [&](engine& item, milliseconds delay) -> asio::awaitable<void> {
        co_await pause(self.loop(), delay);
        item.announce();
    };
    self.run([&]() -> asio::awaitable<void> {
        self.start_gateways();
        co_await pause(self.loop(), milliseconds(8'000));
        fronts = co_await self.resolve(self.gateways[0]->address("directory"));
        spawn(self.loop(), traffic(), "traffic");
        for (int n = 0; n < outages; ++n) {
            co_await pause(self.loop(), milliseconds(3'000));
            const bool down = with_trouble && without_outage == nullptr;
            if (down) {
                self.record.line("the store is down");
                self.beats_reach_store = false;
                self.store().set_mode(soak::soak_store::mode::refuse);
            }
            co_await pause(self.loop(), lapse_after);
            losing = with_trouble;
            if (losing) {
                self.record.line("some engines lose answers");
            }
            for (const auto& item : self.engines) {
                if (down) {
                    self.store().remove(std::string(platform::wire_names::servers_prefix) + item->id());
                }
            }
            co_await pause(self.loop(), outage - lapse_after);
            if (down) {
                self.store().set_mode(soak::soak_store::mode::serve);
                self.record.line("the store is back; the entries of the engines have lapsed");
                for (const auto& item : self.engines) {
                    const milliseconds delay(std::uniform_int_distribution<int>(900, 1'800)(random));
                    spawn(self.loop(), return_entry(*item, delay), "entry");
                }
            }
            co_await pause(self.loop(), milliseconds(2'200));
            self.beats_reach_store = true;
            self.record.line("all entries are back");
            losing = false;
        }
        stop = true;
        while (running > 0) {
            co_await pause(self.loop(), milliseconds(50));
        }
    });
    std::size_t broken = 0;
    for (const auto& [id, engines] : self.runs) {
        const std::set<std::string> distinct(engines.begin(), engines.end());
        if (distinct.size() > 1) {
            ++broken;
            std::string names;
            for (const std::string& name : distinct) {
                names += " " + name;
            }
            self.record.line("request " + id + " ran on" + names + "; maxAttempts is 1");
        }
    }
    self.record.line(std::to_string(broken) + " requests ran on more engines than maxAttempts; " +
                     std::to_string(allowed) + " may");
    std::cout << broken << " of " << sent << " requests ran on more engines than maxAttempts, " << served
              << " served\n";
    if (served < sent / 2) {
        return 2;
    }
    return broken > allowed ? 1 : 0;
}

} // namespace lagoonferry::review
