#include "client/commands.h"
#include "document/document_schema.h"
#include "report/metric_history.h"
#include "report/service_metrics.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <prometheus/text_serializer.h>

#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <thread>

using namespace lagoonferry;
using nlohmann::json;

namespace {

std::string example_text()
{
    std::ifstream in("examples/boat-assignment.json");
    REQUIRE_MESSAGE(in, "run the tests from the root of the repository");
    return {std::istreambuf_iterator<char>(in), {}};
}

/// An entry that listens on an ephemeral port of the loopback interface. It sends prepared responses, by method and
/// path, and records the requests.
class fake_entry {
public:
    fake_entry()
    {
        const auto handler = [this](const httplib::Request& request, httplib::Response& response) {
            respond(request, response);
        };
        m_server.Get(".*", handler);
        m_server.Put(".*", handler);
        m_server.Post(".*", handler);
        port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        while (!m_server.is_running()) {
            std::this_thread::yield();
        }
    }

    ~fake_entry()
    {
        m_server.stop();
        m_thread.join();
    }

    fake_entry(const fake_entry&) = delete;
    fake_entry& operator=(const fake_entry&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    std::map<std::string, std::string> responses;
    std::vector<httplib::Request> requests;
    int port = 0;

private:
    void respond(const httplib::Request& request, httplib::Response& response)
    {
        requests.push_back(request);
        const bool allowed = request.get_header_value("Authorization") == "Bearer operators-key";
        const std::string text = allowed ? responses[request.method + " " + request.target] : unauthorized;
        const json body = json::parse(text, nullptr, false);
        response.status = body.is_object() && body.contains("error") ? 409 : 200;
        response.set_content(text, "application/json");
    }

    const std::string unauthorized = R"({"error":{"code":108,"name":"unauthorized","message":"no","run":"not_run"}})";
    httplib::Server m_server;
    std::thread m_thread;
};

struct run_result {
    int status = 0;
    std::string out;
    std::string err;
};

/// Runs commands with in-memory files and environment variables, and with a clock that only advances while waiting.
struct command_harness {
    std::map<std::string, std::string> files{{"boats.json", example_text()}};
    std::map<std::string, std::string> variables{{"LAGOONFERRY_OPERATOR_KEY", "operators-key"},
                                                 {"LAGOONFERRY_AUTHOR", "reto"}};
    std::int64_t time_ms = 1'700'000'000'000;
    std::function<void()> on_wait = [] {};

    run_result run(std::string_view name, std::vector<std::string> args)
    {
        std::ostringstream out;
        std::ostringstream err;
        const auto find_in = [](std::map<std::string, std::string>& items) {
            return [&items](const std::string& key) -> std::optional<std::string> {
                const auto it = items.find(key);
                return it == items.end() ? std::nullopt : std::optional(it->second);
            };
        };
        client_io io{out,
                     err,
                     find_in(variables),
                     find_in(files),
                     [&](const std::string& path, const std::string& text, bool append) {
                         files[path] = (append ? files[path] : "") + text;
                         return true;
                     },
                     [&](std::chrono::seconds wait) {
                         time_ms += wait.count() * 1'000;
                         on_wait();
                     },
                     [&] { return time_ms; }};
        const int status = run_client_command(name, args, io);
        return {status, out.str(), err.str()};
    }
};

/// An address of the loopback interface on which nothing listens.
std::string unused_address()
{
    const fake_entry stopped;
    return stopped.address();
}

} // namespace

TEST_CASE("every client command has a help text and rejects unknown options")
{
    command_harness harness;
    CHECK(client_commands().size() == 11);
    for (const command& item : client_commands()) {
        const run_result help = harness.run(item.name, {"--help"});
        CHECK_MESSAGE(help.status == exit_done, item.name);
        CHECK(help.out.find("--json") != std::string::npos);
        CHECK_MESSAGE(harness.run(item.name, {"--no-such-option"}).status == exit_usage, item.name);
    }
}

TEST_CASE("put sends the version, the author and the operator key, and reports the version in force")
{
    fake_entry entry;
    command_harness harness;
    entry.responses["PUT /control/documents/boat-assignment"] =
        R"({"service":"boat-assignment","version":4,"author":"reto","time_ms":1700000000000})";
    const run_result put_result = harness.run("put", {"--entry=" + entry.address(), "--if-version=3", "boats.json"});
    CHECK_MESSAGE(put_result.status == exit_done, put_result.err);
    CHECK(put_result.out.find("version 4 by reto at 2023-11-14 22:13:20 UTC is in force") != std::string::npos);
    REQUIRE(entry.requests.size() == 1);
    CHECK(entry.requests[0].get_header_value("If-Version") == "3");
    CHECK(entry.requests[0].get_header_value("X-Author") == "reto");
    CHECK(entry.requests[0].body == harness.files["boats.json"]);
    CHECK(harness.run("put", {"boats.json"}).status == exit_usage);
    harness.variables.erase("LAGOONFERRY_AUTHOR");
    CHECK(harness.run("put", {"--if-version=3", "boats.json"}).status == exit_usage);
}

TEST_CASE("a refused put exits with 1, an unknown outcome and an unreachable entry with 3")
{
    fake_entry entry;
    command_harness harness;
    const auto put_with_answer = [&](const std::string& run) {
        entry.responses["PUT /control/documents/boat-assignment"] = json{
            {"error",
             {{"code", 602},
              {"name", "document_conflict"},
              {"message", "version 5 by ada"},
              {"run", run},
              {"retry_after_ms", 0}}},
            {"newer_version", 5}}.dump();
        return harness.run("put", {"--json", "--entry=" + entry.address(), "--if-version=3", "boats.json"});
    };
    const run_result refused = put_with_answer("not_run");
    CHECK(refused.status == exit_refused);
    CHECK(refused.err.find("document_conflict (602), not_run: version 5 by ada") != std::string::npos);
    CHECK(json::parse(refused.out)["newer_version"] == 5);
    const run_result unknown = put_with_answer("outcome_unknown");
    CHECK(unknown.status == exit_unreachable);
    CHECK(unknown.err.find("not known whether") != std::string::npos);
    CHECK(harness.run("drain", {"--entry=" + unused_address(), "x"}).status == exit_unreachable);
    harness.variables["LAGOONFERRY_OPERATOR_KEY"] = "wrong";
    CHECK(harness.run("get", {"--entry=" + entry.address(), "boat-assignment"}).status == exit_refused);
}

TEST_CASE("an invalid document is rejected before any request is sent")
{
    fake_entry entry;
    command_harness harness;
    json body = json::parse(example_text());
    body["colour"] = "red";
    harness.files["red.json"] = body.dump();
    for (const char* name : {"put", "validate"}) {
        const bool put = std::string_view(name) == "put";
        const run_result result =
            harness.run(name, put ? std::vector<std::string>{"--entry=" + entry.address(), "--if-version=1", "red.json"}
                                  : std::vector<std::string>{"red.json"});
        CHECK(result.status == exit_refused);
        CHECK(result.out == "/colour: unknown field\n");
    }
    CHECK(entry.requests.empty());
    CHECK(harness.run("validate", {"boats.json"}).out == "valid\n");
    const run_result as_json = harness.run("validate", {"--json", "red.json"});
    CHECK(json::parse(as_json.out)["faults"][0]["path"] == "/colour");
    CHECK(harness.run("validate", {"absent.json"}).status == exit_usage);
}

TEST_CASE("get prints a body that put accepts, and diff prints the changes")
{
    fake_entry entry;
    command_harness harness;
    json body = json::parse(example_text());
    const json record{
        {"service", "boat-assignment"}, {"version", 3}, {"author", "ada"}, {"time_ms", 0}, {"body", body}};
    entry.responses["GET /control/documents/boat-assignment"] = record.dump();
    entry.responses["GET /control/documents/boat-assignment?version=2"] = record.dump();
    body["budgets"]["calls"] = 500;
    entry.responses["GET /control/documents/boat-assignment?version=4"] = json{{"body", body}}.dump();
    harness.files["changed.json"] = body.dump();
    const std::string entry_option = "--entry=" + entry.address();
    const run_result got = harness.run("get", {entry_option, "boat-assignment"});
    CHECK(got.err.find("version 3 by ada") != std::string::npos);
    CHECK(check_document_text(got.out).document);
    const std::string change = "~ /budgets/calls: 400 -> 500\n";
    CHECK(harness.run("diff", {entry_option, "boat-assignment", "changed.json"}).out == change);
    CHECK(harness.run("diff", {entry_option, "boat-assignment", "--from=2", "--to=4"}).out == change);
    CHECK(harness.run("diff", {entry_option, "boat-assignment", "boats.json"}).out == "no differences\n");
    CHECK(harness.run("get", {entry_option, "a/b"}).status == exit_usage);
}

TEST_CASE("lists are printed as tables or as the JSON of the entry")
{
    fake_entry entry;
    command_harness harness;
    const std::string entry_option = "--entry=" + unused_address() + "," + entry.address();
    const std::string unreachable = unused_address();
    entry.responses["GET /control/instances"] =
        R"({"instances":[{"id":"entry-1","role":"entry","state":"alive","address":"127.0.0.1:80","failure_domain":"a",
            "load_percent":12,"presumed_down":false}]})";
    entry.responses["GET /control/targets"] = R"({"targets":[{"id":"alloc-1","state":"leaving"}]})";
    entry.responses["GET /control/programs"] =
        R"({"programs":[{"program":"1-aa","service":"boats","account":"boats/captains","state":"open","class":"normal",
            "turns":3,"running":1,"spent":{"tokens":77,"calls":3,"money":0}}],"more":false,
            "own_partitions":[1,7],"other_partitions":{"2":")" +
        unreachable + R"("}})";
    entry.responses["GET /control/documents/boats/history"] =
        R"({"service":"boats","versions":[{"version":1,"author":"ada","time_ms":0}]})";
    entry.responses["POST /control/drain"] = R"({"id":"alloc-1","state":"leaving"})";
    CHECK(harness.run("instances", {entry_option}).out.find("entry-1  entry  alive  127.0.0.1:80  a") !=
          std::string::npos);
    CHECK(harness.run("targets", {entry_option}).out.find("leaving") != std::string::npos);
    CHECK(harness.run("programs", {entry_option, "--partitions"}).out.find("2          " + unreachable) !=
          std::string::npos);
    const run_result programs = harness.run("programs", {entry_option});
    CHECK(programs.out.find("1-aa     boats    boats/captains  open   normal  3      1        77") !=
          std::string::npos);
    CHECK(programs.err == "no answer from " + unreachable + "\n");
    CHECK(harness.run("history", {entry_option, "boats"}).out.find("1        ada     1970-01-01") != std::string::npos);
    const run_result drained = harness.run("drain", {entry_option, "alloc-1"});
    CHECK_MESSAGE(drained.out == "alloc-1 is leaving\n", drained.err);
    CHECK(json::parse(entry.requests.back().body) == json{{"id", "alloc-1"}});
    const run_result as_json = harness.run("programs", {entry_option, "--json"});
    CHECK(json::parse(as_json.out)["own_partitions"] == json{1, 7});
    CHECK(json::parse(as_json.out)["unreachable"] == json::array({unreachable}));
}

TEST_CASE("burn reads the metrics of every entry twice, or appends them to a sample file")
{
    fake_entry entry;
    command_harness harness;
    prometheus::Registry registry;
    service_metrics metrics(registry, std::chrono::seconds(1));
    const auto publish = [&] {
        metrics.count_refused("boat-assignment", service_class::interactive, "");
        entry.responses["GET /metrics"] = prometheus::TextSerializer().Serialize(registry.Collect());
    };
    const json document{{"body", json::parse(example_text())}};
    entry.responses["GET /control/documents/boat-assignment"] = document.dump();
    entry.responses["GET /control/instances"] =
        json{{"instances",
              {{{"id", "entry-1"}, {"role", "entry"}, {"address", entry.address()}},
               {{"id", "entry-2"}, {"role", "entry"}, {"address", unused_address()}}}}}
            .dump();
    publish();
    harness.on_wait = publish;
    const std::string entry_option = "--entry=" + entry.address();
    const run_result twice = harness.run("burn", {entry_option, "--json", "--html=page.html"});
    CHECK_MESSAGE(twice.status == exit_done, twice.err);
    CHECK(twice.err.find("no metrics of instance entry-2") != std::string::npos);
    const json report = json::parse(twice.out);
    CHECK(report["classes"][0]["windows"][0]["bad"] == 1);
    CHECK(report["classes"][0]["objective"]["good_percent"] == 99.5);
    CHECK(harness.files["page.html"].find("<svg") != std::string::npos);
    for (int n = 0; n < 3; ++n) {
        harness.time_ms += 60'000;
        publish();
        CHECK(harness.run("burn", {entry_option, "--append=samples"}).status == exit_done);
    }
    const run_result stored = harness.run("burn", {"--samples=samples", "--documents=boats.json", "--json"});
    CHECK(json::parse(stored.out)["classes"][0]["windows"][0]["bad"] == 2);
    CHECK(json::parse(stored.out)["classes"][0]["objective"]["good_percent"] == 99.5);
    CHECK(harness.run("burn", {"--samples=absent"}).status == exit_usage);
    CHECK(harness.run("burn", {"--samples=boats.json"}).status == exit_usage);
}
