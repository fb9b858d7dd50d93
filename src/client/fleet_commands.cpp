#include "client/command_functions.h"
#include "client/text_table.h"

#include <ostream>
#include <set>
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
int list_command(command_context& call, const std::string& path, const char* list, std::span<const char* const> fields)
{
    const auto client = call.connect();
    if (!client) {
        return exit_usage;
    }
    const control_response reply = client->get(path);
    if (!reply.done()) {
        return call.report_failure(reply);
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

int print_partitions(command_context& call, const json& body)
{
    std::vector<std::vector<std::string>> rows{{"partition", "owner"}};
    for (const json& partition : body.value("own_partitions", json::array())) {
        rows.push_back({partition.dump(), "this entry"});
    }
    const json others = body.value("other_partitions", json::object());
    for (const auto& [partition, address] : others.items()) {
        rows.push_back({partition, address.is_string() ? address.get<std::string>() : address.dump()});
    }
    print_table(call.io().out, rows);
    return exit_done;
}

/// Adds the programs of the other entry instances that `body` names, and lists those that do not answer.
void add_programs_of_others(const control_client& client, const std::string& path, json& body)
{
    std::set<std::string> addresses;
    for (const json& address : body.value("other_partitions", json::object())) {
        addresses.insert(address.get<std::string>());
    }
    json programs = body.value("programs", json::array());
    json unreachable = json::array();
    for (const std::string& address : addresses) {
        const control_response reply = client.get_from(address, path);
        if (!reply.done()) {
            unreachable.push_back(address);
            continue;
        }
        const json found = reply.body.value("programs", json::array());
        programs.insert(programs.end(), found.begin(), found.end());
        body["more"] = body.value("more", false) || reply.body.value("more", false);
    }
    body["programs"] = std::move(programs);
    body["unreachable"] = std::move(unreachable);
}

} // namespace

int run_targets(command_context& call)
{
    constexpr std::array fields{"id", "service", "model", "address", "failure_domain", "group", "state"};
    return list_command(call, "/control/targets", "targets", fields);
}

int run_instances(command_context& call)
{
    constexpr std::array fields{"id", "role", "state", "address", "failure_domain", "load_percent", "presumed_down"};
    return list_command(call, "/control/instances", "instances", fields);
}

int run_programs(command_context& call)
{
    const auto client = call.connect();
    if (!client) {
        return exit_usage;
    }
    const std::string after = call.text("--after").value_or("");
    const std::string path = "/control/programs" + (after.empty() ? "" : "?after=" + percent_encode(after));
    control_response reply = client->get(path);
    if (!reply.done()) {
        return call.report_failure(reply);
    }
    if (call.flag("--partitions") && !call.json()) {
        return print_partitions(call, reply.body);
    }
    add_programs_of_others(*client, path, reply.body);
    if (call.json()) {
        call.print(reply.body);
        return exit_done;
    }
    std::vector<std::vector<std::string>> rows{
        {"program", "service", "account", "state", "class", "turns", "running", "tokens spent"}};
    for (const json& item : reply.body.at("programs")) {
        rows.push_back({cell_of(item, "program"), cell_of(item, "service"), cell_of(item, "account"),
                        cell_of(item, "state"), cell_of(item, "class"), cell_of(item, "turns"),
                        cell_of(item, "running"), cell_of(item.value("spent", json::object()), "tokens")});
    }
    print_table(call.io().out, rows);
    for (const json& address : reply.body.at("unreachable")) {
        call.io().err << "no answer from " << address.get<std::string>() << '\n';
    }
    if (reply.body.value("more", false)) {
        call.io().err << "there are more programs; continue with --after=<program>\n";
    }
    return exit_done;
}
int run_drain(command_context& call)
{
    const std::string id = call.text("<id>").value_or("");
    const auto client = call.connect();
    if (!client) {
        return exit_usage;
    }
    const control_response reply = client->send("POST", "/control/drain", {}, json{{"id", id}}.dump());
    if (!reply.done()) {
        return call.report_failure(reply);
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
