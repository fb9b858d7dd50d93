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
constexpr int max_put_attempts = 3;

std::string document_path(const std::string& service)
{
    return "/control/documents/" + percent_encode(service);
}

std::string version_line(const json& record)
{
    return "version " + std::to_string(record.value("version", std::uint64_t{0})) + " by " +
           record.value("author", "") + " at " + time_text(record.value("time_ms", std::int64_t{0})) + " UTC";
}

/// Returns the content of the file that the command names. Prints an error and returns nothing if it cannot be read.
std::optional<std::string> read_argument_file(command_context& ctx)
{
    const std::string path = ctx.argument("<file>").value_or("");
    auto text = ctx.io().read_file(path);
    if (!text) {
        ctx.usage_error("the file \"" + path + "\" cannot be read");
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

int print_check_result(command_context& ctx, const document_check& check)
{
    if (ctx.json_output()) {
        ctx.print_json({{"valid", check.document.has_value()}, {"faults", faults_json(check.faults)}});
    }
    else {
        ctx.io().out << (check.document ? "valid\n" : describe(check.faults));
    }
    return check.document ? exit_done : exit_refused;
}

/// Fetches one version of a document, or the version in force if `version` is empty.
control_response fetch_document(const control_client& client, const std::string& service, const std::string& version)
{
    return client.get(document_path(service) + (version.empty() ? "" : "?version=" + percent_encode(version)));
}

int print_changes(command_context& ctx, const json& before, const json& after)
{
    const auto changes = diff_documents(before, after);
    if (ctx.json_output()) {
        ctx.print_json({{"changes", to_json(changes)}});
    }
    else {
        ctx.io().out << (changes.empty() ? "no differences\n" : describe(changes));
    }
    return exit_done;
}

int diff_with_file(command_context& ctx, const control_client& client, const std::string& service)
{
    const auto text = read_argument_file(ctx);
    if (!text) {
        return exit_usage;
    }
    const document_check check = check_document_text(*text);
    if (!check.document) {
        return print_check_result(ctx, check);
    }
    const control_response response = fetch_document(client, service, "");
    return response.succeeded() ? print_changes(ctx, response.body.value("body", json()), json::parse(*text))
                                : ctx.report_failure(response);
}

int diff_versions(command_context& ctx, const control_client& client, const std::string& service)
{
    if (!ctx.parse_number("--from") || !ctx.parse_number("--to")) {
        return exit_usage;
    }
    const control_response from = fetch_document(client, service, ctx.argument("--from").value_or(""));
    if (!from.succeeded()) {
        return ctx.report_failure(from);
    }
    const control_response to = fetch_document(client, service, ctx.argument("--to").value_or(""));
    if (!to.succeeded()) {
        return ctx.report_failure(to);
    }
    return print_changes(ctx, from.body.value("body", json()), to.body.value("body", json()));
}

} // namespace

int run_validate(command_context& ctx)
{
    const auto text = read_argument_file(ctx);
    return text ? print_check_result(ctx, check_document_text(*text)) : static_cast<int>(exit_usage);
}

int run_put(command_context& ctx)
{
    const auto version = ctx.parse_number("--if-version");
    const auto given = ctx.argument("--author");
    const auto author = given ? given : ctx.io().read_variable("LAGOONFERRY_AUTHOR");
    if (!version) {
        return exit_usage;
    }
    if (!author || author->empty() || author->find_first_of("\r\n") != std::string::npos) {
        return ctx.usage_error("the author is missing or has line breaks: use --author or LAGOONFERRY_AUTHOR");
    }
    const auto text = read_argument_file(ctx);
    if (!text) {
        return exit_usage;
    }
    const document_check check = check_document_text(*text);
    if (!check.document) {
        return print_check_result(ctx, check);
    }
    const auto client = ctx.connect();
    if (!client) {
        return exit_usage;
    }
    const http_headers headers{
        {"If-Version", std::to_string(*version)}, {"X-Author", *author}, {"X-Write-Id", random_hex(write_id_bytes)}};
    const std::string path = document_path(check.document->service);
    control_response response = client->send("PUT", path, headers, *text);
    // The write id makes the request idempotent, so it can be repeated when the response was lost.
    for (int n = 1; n < max_put_attempts && response.end != call_end::answered; ++n) {
        response = client->send("PUT", path, headers, *text);
    }
    if (!response.succeeded()) {
        return ctx.report_failure(response);
    }
    if (ctx.json_output()) {
        ctx.print_json(response.body);
    }
    else {
        ctx.io().out << check.document->service << ": " << version_line(response.body) << " is in force\n";
    }
    return exit_done;
}

int run_get(command_context& ctx)
{
    const std::string service = ctx.argument("<service>").value_or("");
    const std::string version = ctx.argument("--version").value_or("");
    if (!is_label(service)) {
        return ctx.usage_error("\"" + service + "\" is not a valid service name");
    }
    if (!version.empty() && !ctx.parse_number("--version")) {
        return exit_usage;
    }
    const auto client = ctx.connect();
    if (!client) {
        return exit_usage;
    }
    const control_response response = fetch_document(*client, service, version);
    if (!response.succeeded()) {
        return ctx.report_failure(response);
    }
    if (ctx.json_output()) {
        ctx.print_json(response.body);
        return exit_done;
    }
    ctx.io().err << version_line(response.body) << '\n';
    ctx.print_json(response.body.value("body", json()));
    return exit_done;
}

int run_diff(command_context& ctx)
{
    const std::string service = ctx.argument("<service>").value_or("");
    if (!is_label(service)) {
        return ctx.usage_error("\"" + service + "\" is not a valid service name");
    }
    const auto client = ctx.connect();
    if (!client) {
        return exit_usage;
    }
    return ctx.argument("<file>") ? diff_with_file(ctx, *client, service) : diff_versions(ctx, *client, service);
}

int run_history(command_context& ctx)
{
    const std::string service = ctx.argument("<service>").value_or("");
    if (!is_label(service)) {
        return ctx.usage_error("\"" + service + "\" is not a valid service name");
    }
    const auto client = ctx.connect();
    if (!client) {
        return exit_usage;
    }
    const control_response response = client->get(document_path(service) + "/history");
    if (!response.succeeded()) {
        return ctx.report_failure(response);
    }
    if (ctx.json_output()) {
        ctx.print_json(response.body);
        return exit_done;
    }
    std::vector<std::vector<std::string>> rows{{"version", "author", "time (UTC)"}};
    for (const json& item : response.body.value("versions", json::array())) {
        rows.push_back({std::to_string(item.value("version", std::uint64_t{0})), item.value("author", ""),
                        time_text(item.value("time_ms", std::int64_t{0}))});
    }
    print_table(ctx.io().out, rows);
    return exit_done;
}

} // namespace lagoonferry
