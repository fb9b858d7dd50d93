#include "demo_command.h"

#include "demo_caller.h"
#include "util/digest.h"

#include <docopt/docopt.h>
#include <httplib.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <thread>

namespace lagoonferry::bench {

namespace {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr auto usage = R"(Runs the boat assignment program against running processes and prints a timeline.

Usage:
  lagoonferry_bench demo --entries=<list> --engines=<list> --tool=<address> [--pids=<list>] [--document-only]

Options:
  --entries=<list>   HTTP addresses of the entry processes, separated by commas.
  --engines=<list>   Addresses of the engines.
  --tool=<address>   Address of the tool service.
  --pids=<list>      <instance>=<process id> of the entry processes; the owner of the program is killed between turns.
  --document-only    Only put the service document in force.
)";

constexpr auto service = "boat-assignment";
constexpr auto coach_key = "coach-demo-key";
constexpr int bulk_programs = 12;
constexpr int bulk_tokens = 150;
constexpr milliseconds start_timeout{20'000};

std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> items;
    std::istringstream in(list);
    for (std::string item; std::getline(in, item, ',');) {
        items.push_back(item);
    }
    return items;
}

nlohmann::json target(const std::string& id, const std::string& address, const char* kind)
{
    return {{"id", id},     {"address", address},    {"failure_domain", "zh-a"},
            {"kind", kind}, {"checks_fence", false}, {"speed_class", "medium"}};
}

nlohmann::json tool_entry(const std::string& name, const std::string& address, bool idempotent)
{
    return {{"name", name},
            {"targets", {target(name + "-1", address, "tool")}},
            {"idempotent", idempotent},
            {"deadline_ms", 4000},
            {"retries", idempotent ? 2 : 0}};
}

nlohmann::json per_class(const nlohmann::json& value)
{
    return {{"safety", value}, {"interactive", value}, {"normal", value}, {"bulk", value}};
}

nlohmann::json make_document(const std::vector<std::string>& engines, const std::string& tool)
{
    nlohmann::json targets = nlohmann::json::array();
    for (std::size_t n = 0; n < engines.size(); ++n) {
        targets.push_back(target("engine-" + std::to_string(n), engines[n], "engine"));
    }
    nlohmann::json priorities;
    int priority = 0;
    for (const char* name : {"safety", "interactive", "normal", "bulk"}) {
        priorities[name] = {{"engine_priority", priority++}, {"headroom_percent", 0}};
    }
    return {{"service", service},
            {"owner_team", "demo"},
            {"accounts",
             {{{"name", "coaches"},
               {"key_digest", digest_hex(coach_key)},
               {"weight", 1},
               {"max_programs", 1000},
               {"classes", {"safety", "interactive", "normal", "bulk"}}}}},
            {"models", {{{"name", "allocation"}, {"targets", targets}}}},
            {"tools", {tool_entry("list_boats", tool, true), tool_entry("book_boat", tool, false)}},
            {"classes", per_class({{"first_token_ms", 1500}, {"between_tokens_ms", 72}, {"program_ms", 60000}})},
            {"priorities", priorities},
            {"budgets", {{"tokens", 300000}, {"calls", 400}, {"money_micro", 1000000}, {"mark_share_percent", 25}}},
            {"objectives", per_class({{"good_percent", 99.0}, {"window_days", 28}})}};
}

/// Prints each step with its time and counts the steps whose result was not as expected.
class timeline {
public:
    void step(const std::string& actor, const std::string& action, const caller_response& response, bool expected)
    {
        const auto at = std::chrono::duration_cast<milliseconds>(clock::now() - m_start);
        const nlohmann::json turn_info = response.body.value("lagoonferry", nlohmann::json::object());
        std::printf("%6.2f s  %-10s %-52s %5lld ms", static_cast<double>(at.count()) / 1000.0, actor.c_str(),
                    action.c_str(), static_cast<long long>(response.duration.count()));
        if (!turn_info.empty()) {
            std::printf("  first token %lld ms, %s, %s", static_cast<long long>(response.first_token.count()),
                        turn_info.value("instance", "").c_str(), turn_info.value("target", "").c_str());
        }
        std::printf("%s\n", expected ? "" : "  UNEXPECTED");
        if (!expected) {
            ++m_unexpected;
            std::printf("          status %d, body %s\n", response.status, response.body.dump().c_str());
        }
        std::fflush(stdout);
    }

    void print_heading(const std::string& text) const { std::printf("\n%s\n", text.c_str()); }
    int unexpected() const { return m_unexpected; }

private:
    clock::time_point m_start = clock::now();
    int m_unexpected = 0;
};

bool put_document(const std::string& entry, const nlohmann::json& document)
{
    const char* key = std::getenv("LAGOONFERRY_OPERATOR_KEY");
    httplib::Client client("http://" + entry);
    const httplib::Headers headers{{"Authorization", std::string("Bearer ") + (key == nullptr ? "" : key)},
                                   {"X-Author", "demo"},
                                   {"If-Version", "0"}};
    const auto response =
        client.Put(std::string("/control/documents/") + service, headers, document.dump(), "application/json");
    return response && response->status == 200;
}

/// Waits until every entry instance accepts callers of the service. Returns false after `start_timeout`.
bool wait_until_served(const std::vector<std::string>& entries)
{
    const auto deadline = clock::now() + start_timeout;
    for (const std::string& entry : entries) {
        int status = 0;
        while (status != 200) {
            if (clock::now() > deadline) {
                return false;
            }
            httplib::Client client("http://" + entry);
            const auto response = client.Post("/v1/programs", {{"Authorization", std::string("Bearer ") + coach_key}},
                                              nlohmann::json{{"service", service}}.dump(), "application/json");
            status = response ? response->status : 0;
            if (status != 200) {
                std::this_thread::sleep_for(milliseconds(100));
            }
        }
    }
    return true;
}

/// Runs bulk programs in background threads so that the engines stay saturated. The destructor waits for them.
class bulk_load {
public:
    explicit bulk_load(const std::vector<std::string>& entries)
    {
        for (int n = 0; n < bulk_programs; ++n) {
            m_threads.emplace_back([entries] {
                demo_caller caller(entries, coach_key);
                const std::string program = caller.open(service).body.value("program", "");
                caller.turn({program, "say " + std::to_string(bulk_tokens) + " tokens", "bulk", 1, bulk_tokens});
                caller.end(program);
            });
        }
    }
    bulk_load(const bulk_load&) = delete;
    bulk_load& operator=(const bulk_load&) = delete;
    ~bulk_load() { std::ranges::for_each(m_threads, &std::thread::join); }

private:
    std::vector<std::thread> m_threads;
};

void kill_owner(const std::string& pids, const std::string& instance)
{
    for (const std::string& item : split(pids)) {
        const std::size_t equals = item.find('=');
        if (item.substr(0, equals) == instance) {
            ::kill(static_cast<pid_t>(std::stol(item.substr(equals + 1))), SIGKILL);
        }
    }
}

struct started_program {
    std::string program;
    std::string owner;
};

started_program run_first_act(demo_caller& coach, timeline& steps)
{
    steps.print_heading("Act 1: a coach asks for a boat while weekly drafts keep the engines full");
    caller_response response = coach.open(service);
    const std::string program = response.body.value("program", "");
    steps.step("coach", "opens program " + program, response, response.status == 200);
    response = coach.turn({program, "Which eight is free on Saturday?", "interactive", 1});
    steps.step("coach", "turn 1", response, response.status == 200 && !response.text.empty());
    response = coach.tool(program, "list_boats", "", {{"class", "eight"}});
    steps.step("coach", "tool list_boats (may be repeated)", response, response.status == 200);
    response = coach.turn({program, R"(call tool book_boat {"boat":"eight-3"})", "interactive", 2});
    steps.step("coach", "turn 2 asks for book_boat", response, response.status == 200);
    response = coach.tool(program, "book_boat", "booking-1", {{"boat", "eight-3"}});
    const nlohmann::json booked = response.body;
    steps.step("coach", "tool book_boat (runs at most once)", response, response.status == 200);
    response = coach.tool(program, "book_boat", "booking-1", {{"boat", "eight-3"}});
    steps.step("coach", "the same booking again: the recorded result", response, response.body == booked);

    caller_response child = coach.open(service, program, 20'000);
    const std::string sub_agent = child.body.value("program", "");
    steps.step("sub-agent", "opens with a share of 20,000 tokens", child, child.status == 200);
    child = coach.turn({sub_agent, "Check the crew list.", "interactive", 1});
    steps.step("sub-agent", "turn 1", child, child.status == 200);
    child = coach.end(sub_agent);
    steps.step("sub-agent", "ends; the rest of its share returns", child, child.status == 200);
    response = coach.turn({program, "Confirm the booking.", "interactive", 3});
    steps.step("coach", "turn 3", response, response.status == 200);
    const nlohmann::json turn_info = response.body.value("lagoonferry", nlohmann::json::object());
    return {program, turn_info.value("instance", "")};
}

void send_notice(demo_caller& coach, timeline& steps)
{
    const std::string notice = coach.open(service).body.value("program", "");
    const caller_response response = coach.turn({notice, "say 8 tokens", "safety", 1, 8});
    steps.step("safety", "notice overtakes the drafts", response, response.status == 200);
    coach.end(notice);
}

void continue_after_takeover(demo_caller& coach, const started_program& started, const std::string& pids,
                             timeline& steps)
{
    steps.print_heading("Act 2: the process that owns the program (" + started.owner + ") is killed between two turns");
    kill_owner(pids, started.owner);
    caller_response response = coach.turn({started.program, "Who rows at six?", "interactive", 4});
    const nlohmann::json turn_info = response.body.value("lagoonferry", nlohmann::json::object());
    steps.step("coach", "turn 4 at the successor", response,
               response.status == 200 && turn_info.value("turn", 0) == 4 &&
                   turn_info.value("instance", "") != started.owner);
    response = coach.program(started.program);
    steps.step("coach", "the successor has the whole history", response, response.body.value("turns", 0) == 4);
    response = coach.tool(started.program, "book_boat", "booking-1", {{"boat", "eight-3"}});
    steps.step("coach", "the same booking again: still one execution", response,
               response.status == 200 && response.body["body"].value("execution", 0) == 1);
    response = coach.end(started.program);
    steps.step("coach", "ends the program", response, response.status == 200);
}

} // namespace

int demo_command(const std::vector<std::string>& arguments)
{
    const std::map<std::string, docopt::value> options = docopt::docopt(usage, arguments, true);
    const auto entries = split(options.at("--entries").asString());
    const nlohmann::json document =
        make_document(split(options.at("--engines").asString()), options.at("--tool").asString());
    if (!put_document(entries.front(), document) || !wait_until_served(entries)) {
        std::cerr << "demo: the service document could not be stored, or an entry instance does not serve it\n";
        return 1;
    }
    if (options.at("--document-only").asBool()) {
        return 0;
    }
    std::cout << "The service document is in force at " << entries.size() << " entry instances.\n";
    timeline steps;
    demo_caller coach(entries, coach_key);
    started_program started;
    {
        const bulk_load drafts(entries);
        started = run_first_act(coach, steps);
        send_notice(coach, steps);
    }
    if (options.at("--pids")) {
        continue_after_takeover(coach, started, options.at("--pids").asString(), steps);
    }
    std::cout << "\n"
              << (steps.unexpected() == 0 ? "Every step had the expected result." : "Some steps failed.") << '\n';
    return steps.unexpected() == 0 ? 0 : 1;
}

} // namespace lagoonferry::bench
