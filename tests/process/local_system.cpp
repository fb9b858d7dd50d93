#include "local_system.h"

#include "client/client_io.h"
#include "client/commands.h"
#include "util/digest.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <csignal>
#include <cstdlib>
#include <sstream>
#include <thread>

namespace lagoonferry::test {

namespace {

using namespace std::chrono_literals;

constexpr auto caller_key = "caller-test-key";
constexpr auto operator_key = "operator-test-key-1";
constexpr int platform_standins = 4; // key-value service, instance list, weight store, tool
constexpr auto poll_interval = 20ms;

nlohmann::json target(const std::string& id, const std::string& address, const char* kind)
{
    return {{"id", id},     {"address", address},    {"failure_domain", "fd-1"},
            {"kind", kind}, {"checks_fence", false}, {"speed_class", "medium"}};
}

nlohmann::json per_class(const nlohmann::json& value)
{
    return {{"safety", value}, {"interactive", value}, {"normal", value}, {"bulk", value}};
}

// Log level of the processes. Their logs are printed if a test case fails.
std::string log_level()
{
    const char* level = std::getenv("LAGOONFERRY_TEST_LOG_LEVEL");
    return level == nullptr ? "info" : level;
}

test_response send(const std::string& address, const std::string& method, const std::string& path,
                   const nlohmann::json& body, const std::map<std::string, std::string>& headers,
                   const std::string& key)
{
    httplib::Client http_client("http://" + address);
    http_client.set_connection_timeout(500ms);
    http_client.set_read_timeout(30s);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body.is_null() ? std::string() : body.dump();
    request.headers.emplace("Authorization", "Bearer " + key);
    request.headers.insert(headers.begin(), headers.end());
    const auto response = http_client.send(request);
    if (!response) {
        return {};
    }
    return {response->status, nlohmann::json::parse(response->body, nullptr, false),
            response->get_header_value("Location")};
}

nlohmann::json turn_body(const std::string& content)
{
    return {{"model", "allocation"}, {"max_tokens", 16}, {"messages", {{{"role", "user"}, {"content", content}}}}};
}

std::map<std::string, std::string> turn_headers(const std::string& program, int number)
{
    return {{"X-Program", program}, {"X-Turn", std::to_string(number)}, {"X-History", "new"}};
}

nlohmann::json booking_body()
{
    return {{"arguments", {{"boat", "eight"}}}};
}

std::map<std::string, std::string> booking_headers(const std::string& program, const std::string& key)
{
    return {{"X-Program", program}, {"Idempotency-Key", key}};
}

} // namespace

std::uint32_t partition_of(const std::string& program)
{
    return static_cast<std::uint32_t>(std::stoul(program));
}

bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

local_system::local_system(system_options options)
    : m_options(std::move(options)), m_cluster_key("cluster-test-key-" + random_hex(8))
{
    start_standins();
    for (int n = 1; n <= 3; ++n) {
        start_entry("entry-" + std::to_string(n), "fd-" + std::to_string(n));
    }
    for (const auto& [id, failure_domain] : m_options.extra_entries) {
        start_entry(id, failure_domain);
    }
    start_dispatcher();
    REQUIRE(wait_until([this] {
        return call_as_operator("entry-1", "PUT", std::string("/control/documents/") + service, document(),
                                {{"X-Author", "test"}, {"If-Version", "0"}})
                   .status == 200;
    }));
    for (const std::string& id : entry_ids()) {
        REQUIRE(wait_until([&] {
            const int status = call(id, "POST", "/v1/programs", {{"service", service}}).status;
            // An instance that owns no partition redirects.
            return status == 200 || status == 307;
        }));
    }
}

local_system::~local_system()
{
    for (const auto& [id, process] : m_entries) {
        process->send_signal(SIGKILL);
    }
    if (m_dispatcher) {
        m_dispatcher->send_signal(SIGKILL);
    }
}

void local_system::start_standins()
{
    m_standins = std::make_unique<child_process>(
        "lagoonferry_standins",
        std::vector<std::string>{"all", "--engines=" + std::to_string(m_options.engines), "--tools=1",
                                 "--tool=book_boat=0", "--model=allocation", "--decode-speed=200"});
    for (int n = 0; n < platform_standins + m_options.engines; ++n) {
        const std::string line = m_standins->read_listening_line(20s).value_or("");
        REQUIRE(!line.empty());
        std::istringstream words(line);
        std::string kind;
        std::string name;
        std::string address;
        words >> kind >> name >> address;
        m_addresses[name] = address;
    }
}

std::string local_system::kv_address_of(const std::string& id)
{
    std::string address = m_addresses.at("kv");
    if (!m_options.kv_relays) {
        return address;
    }
    auto relay = std::make_unique<child_process>("lagoonferry_standins",
                                                 std::vector<std::string>{"relay", "--target=" + address});
    constexpr std::string_view relay_prefix = "relay ";
    constexpr std::string_view control_prefix = "control ";
    const std::string relayed = relay->read_listening_line(20s).value_or("");
    const std::string control = relay->read_listening_line(20s).value_or("");
    REQUIRE(!relayed.empty());
    REQUIRE(!control.empty());
    m_addresses["kv-relay-" + id] = control.substr(control_prefix.size());
    m_relays[id] = std::move(relay);
    return relayed.substr(relay_prefix.size());
}

std::vector<std::string> local_system::common_arguments(const std::string& id, const std::string& failure_domain)
{
    std::vector<std::string> arguments{"--instance-id=" + id,
                                       "--failure-domain=" + failure_domain,
                                       "--http-port=0",
                                       "--datagram-port=0",
                                       "--rpc-port=0",
                                       "--kv-address=" + kv_address_of(id),
                                       "--instances-address=" + m_addresses.at("instances"),
                                       "--heartbeat-ms=100",
                                       "--suspicion-ms=1000",
                                       "--presumed-down-ms=" + std::to_string(m_options.presumed_down.count()),
                                       "--address-ttl-ms=500",
                                       "--instance-poll-ms=300",
                                       "--intent-confirmation-ms=" +
                                           std::to_string(m_options.intent_confirmation.count()),
                                       "--partitions=6",
                                       "--log-level=" + log_level()};
    // A restarted process also needs seeds other than the address of its predecessor.
    std::string seeds;
    for (const auto& [entry, address] : m_seeds) {
        seeds += (seeds.empty() ? "" : ",") + address;
    }
    if (!seeds.empty()) {
        arguments.push_back("--seeds=" + seeds);
    }
    return arguments;
}

void local_system::start_entry(const std::string& id, const std::string& failure_domain)
{
    std::vector<std::string> arguments = common_arguments(id, failure_domain);
    arguments.insert(arguments.begin(), "entry");
    auto process = std::make_unique<child_process>(
        "lagoonferry", arguments,
        std::vector<std::string>{"LAGOONFERRY_CLUSTER_KEY=" + m_cluster_key,
                                 std::string("LAGOONFERRY_OPERATOR_KEY=") + operator_key});
    for (int n = 0; n < 3; ++n) {
        const std::string line = process->read_listening_line(20s).value_or("");
        REQUIRE(!line.empty());
        const std::string address = line.substr(line.find(' ') + 1);
        if (line.starts_with("http ")) {
            m_addresses[id] = address;
        }
        else if (line.starts_with("datagram ")) {
            m_seeds[id] = address;
        }
    }
    m_entries[id] = std::move(process);
}

std::unique_ptr<child_process> local_system::start_duplicate(const std::string& id, const std::string& failure_domain)
{
    std::unique_ptr<child_process> former = std::move(m_entries.at(id));
    start_entry(id, failure_domain);
    return former;
}

void local_system::start_dispatcher()
{
    std::vector<std::string> arguments = common_arguments("dispatch-1", "fd-1");
    arguments.insert(arguments.begin(), "dispatch");
    arguments.push_back("--weight-loads-per-minute=60");
    m_dispatcher = std::make_unique<child_process>(
        "lagoonferry", arguments, std::vector<std::string>{"LAGOONFERRY_CLUSTER_KEY=" + m_cluster_key});
    REQUIRE(m_dispatcher->read_listening_line(20s));
}

nlohmann::json local_system::document() const
{
    const auto tool = [this](const char* name, bool idempotent) -> nlohmann::json {
        return {{"name", name},
                {"targets", {target(std::string(name) + "-1", m_addresses.at("tool-0"), "tool")}},
                {"idempotent", idempotent},
                {"deadline_ms", m_options.tool_deadline.count()},
                {"retries", idempotent ? 2 : 0}};
    };
    nlohmann::json engines;
    for (int n = 0; n < m_options.engines; ++n) {
        const std::string id = "engine-" + std::to_string(n);
        engines.push_back(target(id, m_addresses.at(id), "engine"));
    }
    nlohmann::json priorities;
    int priority = 0;
    for (const char* name : {"safety", "interactive", "normal", "bulk"}) {
        priorities[name] = {{"engine_priority", priority++}, {"headroom_percent", 0}};
    }
    return {{"service", service},
            {"owner_team", "test"},
            {"accounts",
             {{{"name", "captains"},
               {"key_digest", digest_hex(caller_key)},
               {"weight", 1},
               {"max_programs", 1000},
               {"classes", {"safety", "interactive", "normal", "bulk"}}},
              {{"name", "others"},
               {"key_digest", digest_hex("other-test-key")},
               {"weight", 1},
               {"max_programs", 1000},
               {"classes", {"normal"}}}}},
            {"models", {{{"name", "allocation"}, {"targets", engines}}}},
            {"tools", {tool("list_boats", true), tool("book_boat", false)}},
            {"classes", per_class({{"first_token_ms", 1500}, {"between_tokens_ms", 72}, {"program_ms", 60000}})},
            {"priorities", priorities},
            {"budgets", {{"tokens", 300000}, {"calls", 400}, {"money_micro", 1000000}, {"mark_share_percent", 25}}},
            {"objectives", per_class({{"good_percent", 99.0}, {"window_days", 28}})}};
}

std::vector<std::string> local_system::entry_ids() const
{
    std::vector<std::string> ids;
    ids.reserve(m_entries.size());
    for (const auto& [id, process] : m_entries) {
        ids.push_back(id);
    }
    return ids;
}

test_response local_system::call(const std::string& entry, const std::string& method, const std::string& path,
                                 const nlohmann::json& body, const std::map<std::string, std::string>& headers)
{
    return send(m_addresses.at(entry), method, path, body, headers, caller_key);
}

test_response local_system::call_with_key(const std::string& entry, const std::string& method, const std::string& path,
                                          const std::string& key)
{
    return send(m_addresses.at(entry), method, path, {}, {}, key);
}

test_response local_system::call_as_operator(const std::string& entry, const std::string& method,
                                             const std::string& path, const nlohmann::json& body,
                                             const std::map<std::string, std::string>& headers)
{
    return send(m_addresses.at(entry), method, path, body, headers, operator_key);
}

std::optional<std::string> local_system::run_operator_command(const std::string& entry, const std::string& name,
                                                              std::vector<std::string> args,
                                                              const std::function<void()>& while_waiting)
{
    std::ostringstream out;
    std::ostringstream err;
    const auto get_variable = [](const std::string& wanted) -> std::optional<std::string> {
        return wanted == "LAGOONFERRY_OPERATOR_KEY" ? std::optional<std::string>(operator_key) : std::nullopt;
    };
    client_io io = system_client_io();
    client_io test_io{out,
                      err,
                      get_variable,
                      io.read_file,
                      io.write_file,
                      [&](std::chrono::seconds) { while_waiting(); },
                      io.wall_clock_ms};
    args.push_back("--entry=" + m_addresses.at(entry));
    const int status = run_client_command(name, args, test_io);
    CHECK_MESSAGE(status == 0, err.str());
    return status == 0 ? std::optional(out.str()) : std::nullopt;
}

test_response local_system::call_any(const std::string& method, const std::string& path, const nlohmann::json& body,
                                     const std::map<std::string, std::string>& headers)
{
    test_response response;
    const std::vector<std::string> ids = entry_ids();
    std::size_t next = 0;
    std::string address;
    wait_until([&] {
        response = send(address.empty() ? m_addresses.at(ids[next++ % ids.size()]) : address, method, path, body,
                        headers, caller_key);
        address.clear();
        if (response.status == 307) {
            const std::size_t host = response.location.find("//") + 2;
            address = response.location.substr(host, response.location.find('/', host) - host);
        }
        return response.status != 0 && response.status != 307 && response.status != 503;
    });
    return response;
}

std::string local_system::open_program()
{
    const test_response response = call_any("POST", "/v1/programs", {{"service", service}});
    REQUIRE(response.status == 200);
    return response.body.at("program");
}

test_response local_system::turn(const std::string& program, int number, const std::string& content)
{
    return call_any("POST", "/v1/chat/completions", turn_body(content), turn_headers(program, number));
}

test_response local_system::book(const std::string& program, const std::string& key)
{
    return call_any("POST", "/v1/tools/book_boat", booking_body(), booking_headers(program, key));
}

test_response local_system::turn_at(const std::string& entry, const std::string& program, int number,
                                    const std::string& content)
{
    return call(entry, "POST", "/v1/chat/completions", turn_body(content), turn_headers(program, number));
}

test_response local_system::book_at(const std::string& entry, const std::string& program, const std::string& key)
{
    return call(entry, "POST", "/v1/tools/book_boat", booking_body(), booking_headers(program, key));
}

head_record local_system::head_of(std::uint32_t partition)
{
    const test_response response = call_standin("kv", "GET", "/inspect/" + head_key(partition));
    REQUIRE(response.status == 200);
    auto head = decode_head(response.body.at("value").get<std::string>());
    REQUIRE(head);
    return std::move(head).value_or(head_record{});
}

void local_system::wait_until_flushed(const std::string& program)
{
    REQUIRE(wait_until([&] {
        const head_record head = head_of(partition_of(program));
        return !head.tail.empty() && std::holds_alternative<outcome_entry>(head.tail.back());
    }));
}

std::string local_system::owner_of(const std::string& program)
{
    std::string owner;
    REQUIRE(wait_until([&] {
        for (const std::string& id : entry_ids()) {
            if (call(id, "GET", "/v1/programs/" + program).status == 200) {
                owner = id;
            }
        }
        return !owner.empty();
    }));
    return owner;
}

void local_system::set_fault(const std::string& standin, const nlohmann::json& fault)
{
    REQUIRE(call_standin(standin, "POST", "/faults", fault).status == 200);
}

void local_system::clear_faults(const std::string& standin)
{
    REQUIRE(call_standin(standin, "DELETE", "/faults").status == 200);
}

void local_system::set_kv_relay_mode(const std::string& entry, const std::string& mode)
{
    REQUIRE(call_standin("kv-relay-" + entry, "POST", "/mode", {{"mode", mode}}).status == 200);
}

int local_system::executions(const std::string& program, const std::string& key)
{
    const test_response response = call_standin("tool-0", "GET", "/executions");
    REQUIRE(response.status == 200);
    return response.body.at("by_key").value(program + '/' + key, 0);
}

test_response local_system::call_standin(const std::string& standin, const std::string& method, const std::string& path,
                                         const nlohmann::json& body)
{
    return send(m_addresses.at(standin), method, path, body, {}, {});
}

} // namespace lagoonferry::test
