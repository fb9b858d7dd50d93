#pragma once

// Parts that several scripts share: a configuration with routes of three kinds, engines, and programs whose turns are
// sent as a client of the users' platform sends them.

#include "rig.h"

#include <nlohmann/json.hpp>

namespace rig {

inline constexpr const char* stream_path = "/stream/run";
inline constexpr const char* safe_path = "/safe/run";
inline constexpr const char* unsafe_path = "/unsafe/run";
inline constexpr int tokens_per_event = 3;

inline std::string configuration(int version)
{
    using nlohmann::json;
    const auto route = [](const char* prefix, const char* kind, const char* service, int timeout) {
        return json{{"name", std::string("r-") + kind},
                    {"host", "ficu95.example"},
                    {"pathPrefix", prefix},
                    {"kind", kind},
                    {"timeoutMs", timeout},
                    {"sloMs", 200},
                    {"priority", 1},
                    {"service", service},
                    {"maxAttempts", 2},
                    {"keepsHistory", false},
                    {"retentionS", 60.0},
                    {"sticky", true},
                    {"resumable", true},
                    {"gapAimMs", 400}};
    };
    const json out{
        {"version", version},
        {"routes",
         {route("/stream/", "streaming", "model", 5000), route("/safe/", "safe", "app", 1200),
          route("/unsafe/", "unsafe", "app", 3000)}},
        {"services",
         {{{"name", "model"},
           {"healthPath", "/health"},
           {"maxConns", 300},
           {"protocol", "h1"},
           {"tls", false},
           {"engine",
            {{"slots", 48},
             {"kvCapacity", 175204},
             {"eventTokens", tokens_per_event},
             {"models", json::array({{{"name", "m"}}})}}}},
          {{"name", "app"}, {"healthPath", "/health"}, {"maxConns", 100}, {"protocol", "h1"}, {"tls", false}}}},
        {"limits",
         {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
    return out.dump();
}

inline std::string engine_entry(const engine::options& item, const char* service, int sequence,
                                const char* state = "ready")
{
    return nlohmann::json{{"service", service},      {"address", item.ip + ":" + std::to_string(item.port)},
                          {"zone", "zone-a"},        {"version", "v1"},
                          {"slots", item.slots},     {"state", state},
                          {"coldLeftMs", 0},         {"sequence", sequence},
                          {"born", 1796000000000ULL}}
        .dump();
}

/// Deployment, store, configuration and engines.
struct scene {
    scene(const std::string& folder, int gateways, int models, int apps, int memory_mb = 110)
        : fleet(folder, gateways, memory_mb), platform(fleet.store_ip, fleet.store_port)
    {
        platform.put("op/config", configuration(7));
        for (int n = 0; n < models + apps; ++n) {
            engine::options item;
            item.id = "i-" + std::to_string(n);
            item.ip = "127.73.100." + std::to_string(n + 1);
            item.port = fleet.front_port;
            item.slots = n < models ? 48 : 6;
            engines.push_back(std::make_unique<engine>(item));
            platform.put("servers/" + item.id, engine_entry(item, n < models ? "model" : "app", 1));
        }
    }

    std::vector<run> runs()
    {
        std::vector<run> all;
        for (const auto& item : engines) {
            const auto some = item->runs();
            all.insert(all.end(), some.begin(), some.end());
        }
        return all;
    }

    deployment fleet;
    store platform;
    std::vector<std::unique_ptr<engine>> engines;
};

/// A program: its budget, and what its clients received.
struct program {
    std::string id;
    int budget = 0;
    int turn_tokens = 0; ///< the most of one turn
    std::atomic<int> tokens{0};
    std::atomic<int> whole{0};
    std::atomic<int> spent{0}; ///< answers with status 402
    std::atomic<int> other{0}; ///< other answers, none included

    /// Sends one turn to a gateway and returns its status.
    int turn(const deployment& fleet, std::size_t gateway, const std::string& session)
    {
        const auto reply = send_request(fleet.machines.at(gateway).ip, fleet.front_port, "POST", stream_path,
                                        {{"Lagoonferry-Request-Id", new_request_id()},
                                         {"Lagoonferry-Program-Id", id},
                                         {"Lagoonferry-Session-Id", session},
                                         {"Lagoonferry-Finish-Ms", "60000"},
                                         {"Lagoonferry-Token-Budget", std::to_string(budget)},
                                         {"Lagoonferry-Token-Count", "400," + std::to_string(turn_tokens)},
                                         {"Lagoonferry-Prompt-Prefix", "5c1e07a2:300," + id + ":100"},
                                         {"Lagoonferry-Model", "m"},
                                         {"Lagoonferry-Deadline-Ms", "5000"}},
                                        "prompt", 6000);
        if (reply.status == 200) {
            tokens += reply.events * tokens_per_event;
            whole += reply.complete ? 1 : 0;
        }
        else if (reply.status == 402) {
            ++spent;
        }
        else {
            ++other;
        }
        return reply.status;
    }
};

} // namespace rig
