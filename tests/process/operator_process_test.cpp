#include "local_system.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <thread>
#include <vector>

using namespace lagoonferry::test;
using namespace std::chrono_literals;

namespace {

int running_calls(local_system& system, const std::string& engine)
{
    return system.call_standin(engine, "GET", "/v1/load").body.value("running", -1);
}

} // namespace

// Guards against an engine that keeps generating for a program that has ended.
TEST_CASE("the end of a program during its turn cancels the engine's call")
{
    local_system system;
    const std::string program = system.open_program();
    test_response response;
    const nlohmann::json body{{"model", "allocation"},
                              {"max_tokens", 20000},
                              {"messages", {{{"role", "user"}, {"content", "say 20000 tokens"}}}}};
    std::thread caller([&] {
        response = system.call_any("POST", "/v1/chat/completions", body, {{"X-Program", program}, {"X-Turn", "1"}});
    });
    const auto running = [&] { return running_calls(system, "engine-0") + running_calls(system, "engine-1"); };
    CHECK(wait_until([&] { return running() == 1; }));
    CHECK(system.call_any("DELETE", "/v1/programs/" + program).status == 200);
    CHECK(wait_until([&] { return running() == 0; }, 3000ms));
    caller.join();
    INFO(response.body.dump());
    CHECK(response.status == 410);
}

// Guards against a list that contains only the programs of the instance that responds.
TEST_CASE("operators see the programs of all instances")
{
    local_system system;
    std::set<std::string> opened;
    std::set<std::string> owners;
    for (int n = 0; n < 12; ++n) {
        opened.insert(system.open_program());
    }
    const std::string ended = *opened.begin();
    REQUIRE(system.turn(ended, 1, "first").status == 200);
    REQUIRE(system.call_any("DELETE", "/v1/programs/" + ended).status == 200);
    // During the handover of a partition, its programs have no owner and are not listed.
    std::map<std::string, nlohmann::json> listed;
    CHECK(wait_until([&] {
        const auto text = system.run_operator_command("entry-1", "programs", {"--json"});
        REQUIRE(text);
        listed.clear();
        const auto response = nlohmann::json::parse(*text);
        for (const auto& item : response.at("programs")) {
            listed[item.at("program")] = item;
        }
        return std::ranges::all_of(opened, [&](const std::string& id) { return listed.contains(id); });
    }));
    for (const std::string& id : opened) {
        CHECK(listed[id].value("state", "") == (id == ended ? "ended" : "open"));
        CHECK(listed[id].value("turns", -1) == (id == ended ? 1 : 0));
    }
}

// Guards against a conflict of a repeated put with itself: the response to the first put is lost although it took
// effect.
TEST_CASE("a repeated put with the same write id returns the version of the first put")
{
    local_system system;
    const std::string path = std::string("/control/documents/") + local_system::service;
    const std::map<std::string, std::string> headers{
        {"X-Author", "test"}, {"If-Version", "1"}, {"X-Write-Id", "0123456789abcdef0123"}};
    const test_response first = system.call_as_operator("entry-1", "PUT", path, system.document(), headers);
    const test_response again = system.call_as_operator("entry-2", "PUT", path, system.document(), headers);
    CHECK(first.status == 200);
    CHECK(again.status == 200);
    CHECK(again.body.at("version") == first.body.at("version"));
    CHECK(
        system.call_as_operator("entry-2", "PUT", path, system.document(), {{"X-Author", "test"}, {"If-Version", "1"}})
            .status == 409);
    CHECK(system
              .call_as_operator("entry-2", "PUT", path, system.document(),
                                {{"X-Author", "test"}, {"X-Write-Id", "short"}})
              .status == 400);
}

// Guards against a report that does not name the targets which cause a slowdown.
TEST_CASE("the burn report counts ended programs, and names the cause and the two slowed targets")
{
    constexpr int engines = 6;
    constexpr int callers = 24;
    const std::set<std::string> slowed{"engine-1", "engine-4"};
    system_options options;
    options.engines = engines;
    local_system system(options);
    for (const std::string& engine : slowed) {
        system.set_fault(engine, {{"path", "/v1/chat/completions"}, {"slow_ms", 2500}});
    }
    const auto load = [&] {
        std::vector<std::thread> threads;
        for (int n = 0; n < callers; ++n) {
            threads.emplace_back([&, n] {
                const std::string program = system.open_program();
                const std::map<std::string, std::string> headers{{"X-Program", program}, {"X-Turn", "1"}};
                system.turn(program, 1, "caller " + std::to_string(n));
                system.call_any("DELETE", "/v1/programs/" + program);
            });
        }
        std::ranges::for_each(threads, [](std::thread& item) { item.join(); });
    };
    const auto text = system.run_operator_command("entry-1", "burn", {"--json", "--interval-s=1"}, load);
    REQUIRE(text);
    const auto report = nlohmann::json::parse(*text);
    INFO(report.dump(2));
    REQUIRE(report.at("classes").size() == 1);
    const auto& found = report.at("classes").at(0);
    CHECK(found.at("causes").at(0).at("name") == "late_first_token");
    std::set<std::string> worst;
    for (const auto& item : found.at("targets")) {
        if (item.at("bad") > 0) {
            worst.insert(item.at("name"));
        }
    }
    CHECK(worst == slowed);
}
