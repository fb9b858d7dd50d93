// Agent programs against gateways: one route of model engines, programs with a token budget, and their turns.
#pragma once

#include "rig.h"

#include <algorithm>
#include <cstdlib>
#include <functional>

namespace rig {

constexpr int turn_tokens = 100; ///< the most of one turn
constexpr int tokens_per_event = 10;

struct program {
    std::string id;
    int budget = 1'000;
    int tokens = 0; ///< handed to the client, by the events that it has read
    int turns = 0;
    int refused = 0; ///< answers 402
    std::string statuses;
    bool keeps_connection = false;
    std::shared_ptr<connection> kept = {};
};

inline std::string document()
{
    const json limits{
        {"maxHeaderBytes", 16'384}, {"maxBodyBytes", 4'194'304}, {"headerTimeoutMs", 5'000}, {"idleTimeoutMs", 10'000}};
    const json route{{"name", "plan"},        {"host", "club.example"}, {"pathPrefix", "/plan/"}, {"service", "models"},
                     {"kind", "streaming"},   {"maxAttempts", 1},       {"timeoutMs", 5'000},     {"sloMs", 200},
                     {"gapAimMs", 400},       {"priority", 1},          {"resumable", true},      {"sticky", true},
                     {"keepsHistory", false}, {"retentionS", 60}};
    const json service{{"name", "models"},
                       {"maxConns", 300},
                       {"engine", {{"eventTokens", tokens_per_event}, {"kvCapacity", 175'204}}}};
    return json{{"version", 3}, {"routes", {route}}, {"services", {service}}, {"limits", limits}}.dump();
}

// One turn, with one further client attempt after a refusal that says when to come back.
inline int take_turn(program& item, const process& node, record& out)
{
    int status = 0;
    for (int attempt = 0; attempt < 2; ++attempt) {
        const std::string id = new_id();
        const std::string request =
            "POST /plan/x HTTP/1.1\r\nHost: club.example\r\nLagoonferry-Request-Id: " + id +
            "\r\nLagoonferry-Program-Id: " + item.id + "\r\nLagoonferry-Session-Id: " + item.id +
            "\r\nLagoonferry-Finish-Ms: 20000\r\nLagoonferry-Token-Budget: " + std::to_string(item.budget) +
            "\r\nLagoonferry-Token-Count: 400," + std::to_string(turn_tokens) +
            "\r\nLagoonferry-Prompt-Prefix: 5c1e07a2:300," + item.id + ":100\r\nLagoonferry-Model: m" +
            "\r\nLagoonferry-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi";
        const int port = node.port("front");
        const answer got = item.keeps_connection ? call_kept(item.kept, node.ip(), port, request, 5'500)
                                                 : call(node.ip(), port, request, 5'500);
        status = got.status;
        const int events = static_cast<int>(std::count(got.body.begin(), got.body.end(), '\n') /
                                            3); // "id: n", "data: en" and a blank line
        item.tokens += status == 200 ? events * tokens_per_event : 0;
        ++item.turns;
        item.refused += status == 402 ? 1 : 0;
        item.statuses += " " + std::to_string(status);
        out.line("turn program=" + item.id + " request=" + id + " gateway=" + node.name() +
                 " status=" + std::to_string(status) + " events=" + std::to_string(status == 200 ? events : 0) +
                 " tokens_so_far=" + std::to_string(item.tokens));
        if (status != 503) {
            break;
        }
        const auto it = got.fields.find("retry-after");
        sleep_ms(it == got.fields.end() ? 200 : static_cast<int>(std::atof(it->second.c_str()) * 1'000));
    }
    return status;
}

/// The gateways of a small deployment with its store and model engines, on loopback addresses.
class fleet {
public:
    fleet(int gateways, const std::string& folder)
        : m_prefix(address_prefix()), m_ports(free_ports(m_prefix, gateways)), m_store("127.0.0.1")
    {
        m_store.put("op/config", document());
        constexpr int engines = 4;
        for (int n = 0; n < engines; ++n) {
            m_engines.push_back(std::make_unique<engine>(
                "127.0.0.1", m_store,
                engine::options{"models", "m-" + std::to_string(n), n % 2 == 0 ? "z-a" : "z-b", 2, 20, 48},
                [](const run& /*run*/) {}));
        }
        for (int n = 0; n < gateways; ++n) {
            const std::string zone(n % 3 == 0 ? "z-a" : n % 3 == 1 ? "z-b" : "z-c");
            nodes.push_back(std::make_unique<process>(
                "gateway",
                gateway_settings("front-" + std::to_string(n), m_prefix + std::to_string(n + 1), zone, m_ports,
                                 m_store.address(), {m_prefix + "1", m_prefix + "2", m_prefix + "3"}),
                folder));
        }
    }

    /// Starts all gateways, and waits until they are ready and have seen each other.
    bool start(record& out)
    {
        for (const auto& node : nodes) {
            node->start(true);
        }
        for (const auto& node : nodes) {
            if (!wait_ready(*node, 10'000)) {
                out.line("gateway " + node->name() + " is not ready");
                return false;
            }
        }
        sleep_ms(4'000);
        return true;
    }

    std::vector<std::unique_ptr<process>> nodes;

private:
    std::string m_prefix;
    fleet_ports m_ports;
    store m_store;
    std::vector<std::unique_ptr<engine>> m_engines;
};

inline std::vector<program> make_programs(int count)
{
    std::vector<program> all(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) {
        char id[16];
        std::snprintf(id, sizeof id, "%06x", 0x3fa800 + n * 7'919);
        all[static_cast<std::size_t>(n)].id = id;
    }
    return all;
}

/// Programs are independent of each other: each one takes its turns in its own thread.
inline void for_each_program(std::vector<program>& all, const std::function<void(program&)>& call)
{
    std::vector<std::thread> threads;
    for (program& item : all) {
        threads.emplace_back([&item, &call] { call(item); });
    }
    std::ranges::for_each(threads, &std::thread::join);
}

/// Checks the rule BUDGET for all programs, writes the result, and returns the number of programs that break it.
inline int check_budgets(const std::vector<program>& all, record& out, std::string& result)
{
    int over = 0;
    int most = 0;
    for (const program& item : all) {
        const bool broken = item.tokens > item.budget + turn_tokens;
        most = std::max(most, item.tokens);
        over += broken ? 1 : 0;
        out.line("program=" + item.id + " budget=" + std::to_string(item.budget) + " tokens=" +
                 std::to_string(item.tokens) + (broken ? " BUDGET broken" : "") + " statuses:" + item.statuses);
    }
    result = std::to_string(over) + " of " + std::to_string(all.size()) +
             " programs got more than their budget and one turn (" + std::to_string(all.front().budget + turn_tokens) +
             " tokens); the most: " + std::to_string(most);
    out.line(result);
    return over;
}

inline bool trouble_wanted()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace rig
