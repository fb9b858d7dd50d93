// Case 7: one engine of a plain service fails a part of the requests that it has run, with status 503 of its own and
// without Lagoonferry-Not-Executed. The client gets this status, which promises that the request has not run.
#include "rig.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <set>

#include <unistd.h>

using namespace rig;

namespace {

std::string document()
{
    const json limits{
        {"maxHeaderBytes", 16'384}, {"maxBodyBytes", 4'194'304}, {"headerTimeoutMs", 5'000}, {"idleTimeoutMs", 10'000}};
    const json route{{"name", "booking"},  {"host", "club.example"}, {"pathPrefix", "/booking/"},
                     {"service", "app"},   {"kind", "unsafe"},       {"maxAttempts", 1},
                     {"timeoutMs", 3'000}, {"sloMs", 400},           {"priority", 2}};
    return json{{"version", 3},
                {"routes", {route}},
                {"services", {json{{"name", "app"}, {"maxConns", 100}}}},
                {"limits", limits}}
        .dump();
}

} // namespace

int main(int count, char** args)
{
    if (count < 3) {
        return 2;
    }
    constexpr int gateways = 3;
    constexpr int engine_count = 7; // one of them is 0.15 of them at most
    constexpr int bookings = 120;
    const char* text = std::getenv("TROUBLE");
    const bool trouble = text == nullptr || std::string(text) != "0";
    record out(args[2]);
    const std::string prefix = address_prefix();
    const fleet_ports ports = free_ports(prefix, gateways);
    store keeper("127.0.0.1");
    keeper.put("op/config", document());

    std::mutex mutex;
    std::map<std::string, int> runs_by_request;
    std::map<std::string, int> runs_by_booking;
    std::minstd_rand random(7);
    const auto grey_status = [&]() {
        const std::lock_guard lock(mutex);
        constexpr double failing_share = 0.4;
        return std::bernoulli_distribution(failing_share)(random) ? 503 : 200;
    };
    std::vector<std::unique_ptr<engine>> engines;
    for (int n = 0; n < engine_count; ++n) {
        engine::options options{"app", "a-" + std::to_string(n), n % 2 == 0 ? "z-a" : "z-b", 2, 20, 6};
        if (n == 0 && trouble) {
            options.status_of_run = grey_status;
        }
        engines.push_back(std::make_unique<engine>("127.0.0.1", keeper, options, [&](const run& item) {
            const std::lock_guard lock(mutex);
            ++runs_by_request[item.request.field("lagoonferry-request-id")];
            ++runs_by_booking[item.request.field("lagoonferry-affinity-key")];
            out.line("run request=" + item.request.field("lagoonferry-request-id") +
                     " booking=" + item.request.field("lagoonferry-affinity-key") + " engine=" + item.engine);
        }));
    }
    std::vector<std::unique_ptr<process>> nodes;
    for (int n = 0; n < gateways; ++n) {
        const std::string zone(n % 3 == 0 ? "z-a" : n % 3 == 1 ? "z-b" : "z-c");
        nodes.push_back(
            std::make_unique<process>("gateway",
                                      gateway_settings("front-" + std::to_string(n), prefix + std::to_string(n + 1),
                                                       zone, ports, keeper.address(), {prefix + "1"}),
                                      args[1]));
        nodes.back()->start(true);
    }
    for (const auto& node : nodes) {
        if (!wait_ready(*node, 10'000)) {
            nodes.clear();
            ::_exit(2);
        }
    }
    sleep_ms(3'000);

    std::set<std::string> refused;
    // Four clients. Each sends its bookings one after the other, with one retry after a promise.
    std::vector<std::thread> clients;
    constexpr int client_count = 4;
    for (int c = 0; c < client_count; ++c) {
        clients.emplace_back([&, c] {
            for (int n = c; n < bookings; n += client_count) {
                for (int attempt = 0; attempt < 2; ++attempt) {
                    const process& node = *nodes[static_cast<std::size_t>(n + attempt) % nodes.size()];
                    const std::string id = new_id();
                    const answer got =
                        call(node.ip(), node.port("front"),
                             "POST /booking/x HTTP/1.1\r\nHost: club.example\r\nLagoonferry-Request-Id: " + id +
                                 "\r\nLagoonferry-Affinity-Key: b" + std::to_string(n) +
                                 "\r\nLagoonferry-Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\nhi",
                             3'500);
                    out.line("answer request=" + id + " booking=b" + std::to_string(n) + " gateway=" + node.name() +
                             " status=" + std::to_string(got.status) + " body=\"" + got.body + "\"");
                    const bool promise =
                        got.status == 503 || got.status == 429 || got.status == 408 || got.status == 421;
                    if (!promise) {
                        break;
                    }
                    const std::lock_guard lock(mutex);
                    refused.insert(id);
                }
            }
        });
    }
    std::ranges::for_each(clients, &std::thread::join);
    sleep_ms(500);
    const std::lock_guard lock(mutex);
    const auto broken = std::ranges::count_if(refused, [&](const std::string& id) { return runs_by_request[id] > 0; });
    const auto twice = std::ranges::count_if(runs_by_booking, [](const auto& pair) { return pair.second > 1; });
    const std::string result = std::to_string(broken) + " of " + std::to_string(refused.size()) +
                               " requests that were refused as not run had run; " + std::to_string(twice) + " of " +
                               std::to_string(bookings) + " bookings ran twice";
    out.line(result + (broken > 0 ? "; REFUSED broken" : ""));
    std::cout << result << std::endl;
    nodes.clear(); // ends the processes
    ::_exit(broken > 0 ? 1 : 0);
}
