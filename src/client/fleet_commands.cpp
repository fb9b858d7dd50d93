#include "client/command_functions.h"
#include "client/text_table.h"

#include <ostream>
#include <set>
#include <span>

namespace lagoonferry {

namespace {

using nlohmann::json;

std::string cell_text(const json& item, const char* field)
{
    const auto it = item.find(field);
    if (it == item.end()) {
        return "";
    }
    return it->is_string() ? it->get<std::string>() : it->dump();
}

/// Fetches `path` and prints the objects of its array `list` as a table with the given fields as columns.
int print_list(command_context& ctx, const std::string& path, const char* list, std::span<const char* const> fields)
{
    const auto client = ctx.connect();
    if (!client) {
        return exit_usage;
    }
    const control_response response = client->get(path);
    if (!response.succeeded()) {
        return ctx.report_failure(response);
    }
    if (ctx.json_output()) {
        ctx.print_json(response.body);
        return exit_done;
    }
    std::vector<std::vector<std::string>> rows{{fields.begin(), fields.end()}};
    for (const json& item : response.body.value(list, json::array())) {
        auto& row = rows.emplace_back();
        for (const char* field : fields) {
            row.push_back(cell_text(item, field));
        }
    }
    print_table(ctx.io().out, rows);
    return exit_done;
}

int print_partitions(command_context& ctx, const json& body)
{
    std::vector<std::vector<std::string>> rows{{"partition", "owner"}};
    for (const json& partition : body.value("own_partitions", json::array())) {
        rows.push_back({partition.dump(), "this entry"});
    }
    const json others = body.value("other_partitions", json::object());
    for (const auto& [partition, address] : others.items()) {
        rows.push_back({partition, address.is_string() ? address.get<std::string>() : address.dump()});
    }
    print_table(ctx.io().out, rows);
    return exit_done;
}

/// Adds the programs of the other entry instances that own partitions. The addresses of instances that do not answer
/// are listed in "unreachable".
void add_programs_of_other_entries(const control_client& client, const std::string& path, json& body)
{
    std::set<std::string> addresses;
    for (const json& address : body.value("other_partitions", json::object())) {
        addresses.insert(address.get<std::string>());
    }
    json programs = body.value("programs", json::array());
    json unreachable = json::array();
    for (const std::string& address : addresses) {
        const control_response response = client.get_from(address, path);
        if (!response.succeeded()) {
            unreachable.push_back(address);
            continue;
        }
        const json found = response.body.value("programs", json::array());
        programs.insert(programs.end(), found.begin(), found.end());
        body["more"] = body.value("more", false) || response.body.value("more", false);
    }
    body["programs"] = std::move(programs);
    body["unreachable"] = std::move(unreachable);
}

} // namespace

int run_targets(command_context& ctx)
{
    constexpr std::array fields{"id", "service", "model", "address", "failure_domain", "group", "state"};
    return print_list(ctx, "/control/targets", "targets", fields);
}

int run_instances(command_context& ctx)
{
    constexpr std::array fields{"id", "role", "state", "address", "failure_domain", "load_percent", "presumed_down"};
    return print_list(ctx, "/control/instances", "instances", fields);
}

int run_programs(command_context& ctx)
{
    const auto client = ctx.connect();
    if (!client) {
        return exit_usage;
    }
    const std::string after = ctx.argument("--after").value_or("");
    const std::string path = "/control/programs" + (after.empty() ? "" : "?after=" + percent_encode(after));
    control_response response = client->get(path);
    if (!response.succeeded()) {
        return ctx.report_failure(response);
    }
    if (ctx.flag("--partitions") && !ctx.json_output()) {
        return print_partitions(ctx, response.body);
    }
    add_programs_of_other_entries(*client, path, response.body);
    if (ctx.json_output()) {
        ctx.print_json(response.body);
        return exit_done;
    }
    std::vector<std::vector<std::string>> rows{
        {"program", "service", "account", "state", "class", "turns", "running", "tokens spent"}};
    for (const json& item : response.body.at("programs")) {
        rows.push_back({cell_text(item, "program"), cell_text(item, "service"), cell_text(item, "account"),
                        cell_text(item, "state"), cell_text(item, "class"), cell_text(item, "turns"),
                        cell_text(item, "running"), cell_text(item.value("spent", json::object()), "tokens")});
    }
    print_table(ctx.io().out, rows);
    for (const json& address : response.body.at("unreachable")) {
        ctx.io().err << "no answer from " << address.get<std::string>() << '\n';
    }
    if (response.body.value("more", false)) {
        ctx.io().err << "there are more programs; continue with --after=<program>\n";
    }
    return exit_done;
}

int run_drain(command_context& ctx)
{
    const std::string id = ctx.argument("<id>").value_or("");
    const auto client = ctx.connect();
    if (!client) {
        return exit_usage;
    }
    const control_response response = client->send("POST", "/control/drain", {}, json{{"id", id}}.dump());
    if (!response.succeeded()) {
        return ctx.report_failure(response);
    }
    if (ctx.json_output()) {
        ctx.print_json(response.body);
    }
    else {
        ctx.io().out << id << " is leaving\n";
    }
    return exit_done;
}

} // namespace lagoonferry
