#include "client/command_runs.h"
#include "client/text_table.h"

#include <ostream>
#include <span>

namespace lagoonferry {

namespace {

using nlohmann::json;

std::string cell_of(const json& item, const char* field)
{
    const auto it = item.find(field);
    if (it == item.end()) {
        return "";
    }
    return it->is_string() ? it->get<std::string>() : it->dump();
}

/// Reads a list of objects and prints the named fields as columns.
int list_command(client_call& call, const std::string& path, const char* list, std::span<const char* const> fields)
{
    const auto client = call.connect();
    if (!client) {
        return exit_usage;
    }
    const control_reply reply = client->get(path);
    if (!reply.done()) {
        return call.fail(reply);
    }
    if (call.json()) {
        call.print(reply.body);
        return exit_done;
    }
    std::vector<std::vector<std::string>> rows{{fields.begin(), fields.end()}};
    for (const json& item : reply.body.value(list, json::array())) {
        auto& row = rows.emplace_back();
        for (const char* field : fields) {
            row.push_back(cell_of(item, field));
        }
    }
    print_table(call.io().out, rows);
    return exit_done;
}

} // namespace

int run_targets(client_call& call)
{
    constexpr std::array fields{"id", "service", "model", "address", "failure_domain", "group", "state"};
    return list_command(call, "/control/targets", "targets", fields);
}

int run_instances(client_call& call)
{
    constexpr std::array fields{"id", "role", "state", "address", "failure_domain", "load_percent", "presumed_down"};
    return list_command(call, "/control/instances", "instances", fields);
}

int run_programs(client_call& call)
{
    const auto client = call.connect();
    if (!client) {
        return exit_usage;
    }
    const control_reply reply = client->get("/control/programs");
    if (!reply.done()) {
        return call.fail(reply);
    }
    if (call.json()) {
        call.print(reply.body);
        return exit_done;
    }
    std::vector<std::vector<std::string>> rows{{"partition", "owner"}};
    for (const json& partition : reply.body.value("own_partitions", json::array())) {
        rows.push_back({partition.dump(), "this entry"});
    }
    const json others = reply.body.value("other_partitions", json::object());
    for (const auto& [partition, address] : others.items()) {
        rows.push_back({partition, address.is_string() ? address.get<std::string>() : address.dump()});
    }
    print_table(call.io().out, rows);
    return exit_done;
}

int run_drain(client_call& call)
{
    const std::string id = call.text("<id>").value_or("");
    const auto client = call.connect();
    if (!client) {
        return exit_usage;
    }
    const control_reply reply = client->send("POST", "/control/drain", {}, json{{"id", id}}.dump());
    if (!reply.done()) {
        return call.fail(reply);
    }
    if (call.json()) {
        call.print(reply.body);
    }
    else {
        call.io().out << id << " is leaving\n";
    }
    return exit_done;
}

} // namespace lagoonferry
