#include "client/command_functions.h"
#include "client/log_explanation.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <ranges>

namespace lagoonferry {

namespace {

/// Reads all log files of a comma-separated list. Prints an error and returns nothing if one cannot be read.
std::optional<std::vector<log_entry>> read_logs(command_context& ctx, std::string_view files)
{
    std::vector<log_entry> entries;
    for (const auto part : files | std::views::split(',')) {
        const std::string path(part.begin(), part.end());
        const auto text = ctx.io().read_file(path);
        if (!text) {
            ctx.usage_error("cannot read the log file " + path);
            return std::nullopt;
        }
        std::ranges::move(read_log_entries(path, *text), std::back_inserter(entries));
    }
    return entries;
}

} // namespace

int run_explain(command_context& ctx)
{
    const std::string request = ctx.argument("<request>").value_or("");
    const auto entries = read_logs(ctx, ctx.argument("<files>").value_or(""));
    if (!entries) {
        return exit_usage;
    }
    const auto found = explain_request(*entries, request);
    if (found.empty()) {
        ctx.io().err << "no log line names the request " << request << '\n';
        return exit_refused;
    }
    if (ctx.json_output()) {
        nlohmann::json list = nlohmann::json::array();
        for (const log_entry& line : found) {
            list.push_back({{"source", line.source}, {"line", line.text}});
        }
        ctx.print_json(list);
        return exit_done;
    }
    for (const log_entry& line : found) {
        ctx.io().out << line.source << "  " << line.text << '\n';
    }
    return exit_done;
}

} // namespace lagoonferry
