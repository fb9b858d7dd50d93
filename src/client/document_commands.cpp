#include "client/command_functions.h"
#include "client/text_table.h"
#include "document/document_diff.h"
#include "document/document_schema.h"
#include "report/burn_text.h"
#include "settings/label.h"
#include "util/digest.h"

#include <ostream>

namespace lagoonferry {

namespace {

using nlohmann::json;

constexpr std::size_t write_id_bytes = 16;
constexpr int put_attempts = 3;

std::string document_path(const std::string& service)
{
    return "/control/documents/" + percent_encode(service);
}

std::string version_line(const json& record)
{
    return "version " + std::to_string(record.value("version", std::uint64_t{0})) + " by " +
           record.value("author", "") + " at " + time_text(record.value("time_ms", std::int64_t{0})) + " UTC";
}

/// Returns the text of the file of a command, or nothing after printing a fault.
std::optional<std::string> read_argument_file(command_context& call)
{
    const std::string path = call.text("<file>").value_or("");
    auto text = call.io().read_file(path);
    if (!text) {
        call.usage_error("the file \"" + path + "\" cannot be read");
    }
    return text;
}

json faults_json(const std::vector<document_fault>& faults)
{
    json result = json::array();
    for (const document_fault& fault : faults) {
        result.push_back({{"path", fault.path}, {"reason", fault.reason}});
    }
    return result;
}

int print_check(command_context& call, const document_check& check)
{
    if (call.json()) {
        call.print({{"valid", check.document.has_value()}, {"faults", faults_json(check.faults)}});
    }
    else {
        call.io().out << (check.document ? "valid\n" : describe(check.faults));
    }
    return check.document ? exit_done : exit_refused;
}

/// Reads one version of a document, or the one in force for an empty version.
control_response read_document(const control_client& client, const std::string& service, const std::string& version)
{
    return client.get(document_path(service) + (version.empty() ? "" : "?version=" + percent_encode(version)));
}

int print_changes(command_context& call, const json& before, const json& after)
{
    const auto changes = diff_documents(before, after);
    if (call.json()) {
        call.print({{"changes", to_json(changes)}});
    }
    else {
        call.io().out << (changes.empty() ? "no differences\n" : describe(changes));
    }
    return exit_done;
}

int diff_with_file(command_context& call, const control_client& client, const std::string& service)
{
    const auto text = read_argument_file(call);
    if (!text) {
        return exit_usage;
    }
    const document_check check = check_document_text(*text);
    if (!check.document) {
        return print_check(call, check);
    }
    const control_response reply = read_document(client, service, "");
    return reply.done() ? print_changes(call, reply.body.value("body", json()), json::parse(*text))
                        : call.report_failure(reply);
}

int diff_versions(command_context& call, const control_client& client, const std::string& service)
{
    if (!call.number("--from") || !call.number("--to")) {
        return exit_usage;
    }
    const control_response from = read_document(client, service, call.text("--from").value_or(""));
    if (!from.done()) {
        return call.report_failure(from);
    }
    const control_response to = read_document(client, service, call.text("--to").value_or(""));
    if (!to.done()) {
        return call.report_failure(to);
    }
    return print_changes(call, from.body.value("body", json()), to.body.value("body", json()));
}

} // namespace

int run_validate(command_context& call)
{
    const auto text = read_argument_file(call);
    return text ? print_check(call, check_document_text(*text)) : static_cast<int>(exit_usage);
}

int run_put(command_context& call)
{
    const auto version = call.number("--if-version");
    const auto given = call.text("--author");
    const auto author = given ? given : call.io().variable("LAGOONFERRY_AUTHOR");
    if (!version) {
        return exit_usage;
    }
    if (!author || author->empty() || author->find_first_of("\r\n") != std::string::npos) {
        return call.usage_error("--author or LAGOONFERRY_AUTHOR must name you in one line");
    }
    const auto text = read_argument_file(call);
    if (!text) {
        return exit_usage;
    }
    const document_check check = check_document_text(*text);
    if (!check.document) {
        return print_check(call, check);
    }
    const auto client = call.connect();
    if (!client) {
        return exit_usage;
    }
    const http_headers headers{
        {"If-Version", std::to_string(*version)}, {"X-Author", *author}, {"X-Write-Id", random_hex(write_id_bytes)}};
    const std::string path = document_path(check.document->service);
    control_response reply = client->send("PUT", path, headers, *text);
    // The same write id makes a repetition harmless when the first answer was lost.
    for (int n = 1; n < put_attempts && reply.end != call_end::answered; ++n) {
        reply = client->send("PUT", path, headers, *text);
    }
    if (!reply.done()) {
        return call.report_failure(reply);
    }
    if (call.json()) {
        call.print(reply.body);
    }
    else {
        call.io().out << check.document->service << ": " << version_line(reply.body) << " is in force\n";
    }
    return exit_done;
}

int run_get(command_context& call)
{
    const std::string service = call.text("<service>").value_or("");
    const std::string version = call.text("--version").value_or("");
    if (!is_label(service)) {
        return call.usage_error("\"" + service + "\" is not the name of a service");
    }
    if (!version.empty() && !call.number("--version")) {
        return exit_usage;
    }
    const auto client = call.connect();
    if (!client) {
        return exit_usage;
    }
    const control_response reply = read_document(*client, service, version);
    if (!reply.done()) {
        return call.report_failure(reply);
    }
    if (call.json()) {
        call.print(reply.body);
        return exit_done;
    }
    call.io().err << version_line(reply.body) << '\n';
    call.print(reply.body.value("body", json()));
    return exit_done;
}

int run_diff(command_context& call)
{
    const std::string service = call.text("<service>").value_or("");
    if (!is_label(service)) {
        return call.usage_error("\"" + service + "\" is not the name of a service");
    }
    const auto client = call.connect();
    if (!client) {
        return exit_usage;
    }
    return call.text("<file>") ? diff_with_file(call, *client, service) : diff_versions(call, *client, service);
}

int run_history(command_context& call)
{
    const std::string service = call.text("<service>").value_or("");
    if (!is_label(service)) {
        return call.usage_error("\"" + service + "\" is not the name of a service");
    }
    const auto client = call.connect();
    if (!client) {
        return exit_usage;
    }
    const control_response reply = client->get(document_path(service) + "/history");
    if (!reply.done()) {
        return call.report_failure(reply);
    }
    if (call.json()) {
        call.print(reply.body);
        return exit_done;
    }
    std::vector<std::vector<std::string>> rows{{"version", "author", "time (UTC)"}};
    for (const json& item : reply.body.value("versions", json::array())) {
        rows.push_back({std::to_string(item.value("version", std::uint64_t{0})), item.value("author", ""),
                        time_text(item.value("time_ms", std::int64_t{0}))});
    }
    print_table(call.io().out, rows);
    return exit_done;
}

} // namespace lagoonferry
