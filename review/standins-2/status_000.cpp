// Case 9: an engine in trouble answers with status 000. The gateway takes the head for an interim response, and the
// body for the next head: the client gets what stands in the body as the engine's answer.
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
    constexpr int engine_count = 7;
    constexpr int spoiling_engines = 2; // a share of 0.286
    constexpr int bookings = 1'200;
    const char* text = std::getenv("TROUBLE");
    const bool trouble = text == nullptr || std::string(text) != "0";
    record out(args[2]);
    const std::string prefix = address_prefix();
    const fleet_ports ports = free_ports(prefix, gateways);
    store keeper("127.0.0.1");
    keeper.put("op/config", document());

    std::mutex mutex;
    std::set<std::string> failed; ///< requests whose answer had the status 000
    std::minstd_rand random(7);
    // The engine has run the request, and answers 000. The body is the report of the failed booking, in which the
    // answer of the application behind it stands as it came.
    const auto spoiled = [&](const message& request) {
        const std::lock_guard lock(mutex);
        constexpr double spoiled_share = 0.02;
        if (!std::bernoulli_distribution(spoiled_share)(random)) {
            return std::string{};
        }
        const std::string id = request.field("lagoonferry-request-id");
        failed.insert(id);
        const std::string common = "Lagoonferry-Request-Id: " + id + "\r\nLagoonferry-Response-Stamp: s.1\r\n";
        const std::string body = "HTTP/1.1 200 OK\r\n" + common + "Content-Length: 9\r\n\r\nnot saved";
        out.line("engine answers request=" + id + " with status 000 and a body of " + std::to_string(body.size()) +
                 " bytes");
        return "HTTP/1.1 000 x\r\n" + common + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    std::vector<std::unique_ptr<engine>> engines;
    for (int n = 0; n < engine_count; ++n) {
        engine::options options{"app", "a-" + std::to_string(n), n % 2 == 0 ? "z-a" : "z-b", 2, 20, 6};
        if (n < spoiling_engines && trouble) {
            options.answer_bytes = spoiled;
        }
        engines.push_back(std::make_unique<engine>("127.0.0.1", keeper, options, [&](const run& item) {
            out.line("run request=" + item.request.field("lagoonferry-request-id") + " engine=" + item.engine);
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

    std::atomic<int> broken{0};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    constexpr int client_count = 8;
    for (int c = 0; c < client_count; ++c) {
        clients.emplace_back([&, c] {
            for (int n = c; n < bookings; n += client_count) {
                const process& node = *nodes[static_cast<std::size_t>(n) % nodes.size()];
                const std::string id = new_id();
                const answer got =
                    call(node.ip(), node.port("front"),
                         "POST /booking/x HTTP/1.1\r\nHost: club.example\r\nLagoonferry-Request-Id: " + id +
                             "\r\nLagoonferry-Deadline-Ms: 1500\r\nContent-Length: 2\r\n\r\nhi",
                         2'500);
                const auto stamp = got.fields.find("lagoonferry-response-stamp");
                out.line("answer request=" + id + " gateway=" + node.name() + " status=" + std::to_string(got.status) +
                         (stamp == got.fields.end() ? "" : " stamped") + " body=\"" + got.body + "\"");
                const std::lock_guard lock(mutex);
                served += got.status == 200 ? 1 : 0;
                broken += got.status == 200 && failed.contains(id) ? 1 : 0;
            }
        });
    }
    std::ranges::for_each(clients, &std::thread::join);
    const std::string result = std::to_string(broken) + " of " + std::to_string(failed.size()) +
                               " requests that the engine had answered with status 000 got a success; " +
                               std::to_string(served) + " of " + std::to_string(bookings) + " got 200";
    out.line(result + (broken > 0 ? "; MIXED broken" : ""));
    std::cout << result << std::endl;
    nodes.clear(); // ends the processes
    ::_exit(broken > 0 ? 1 : 0);
}
