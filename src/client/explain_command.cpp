#include "client/command_functions.h"
#include "client/log_explanation.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <ranges>

namespace lagoonferry {

namespace {

/// Reads all named logs. Returns nothing after printing a fault when one cannot be read.
std::optional<std::vector<log_entry>> read_logs(command_context& call, std::string_view files)
{
    std::vector<log_entry> entries;
    for (const auto part : files | std::views::split(',')) {
        const std::string path(part.begin(), part.end());
        const auto text = call.io().read_file(path);
        if (!text) {
            call.usage_error("cannot read the log " + path);
            return std::nullopt;
        }
        std::ranges::move(read_log_entries(path, *text), std::back_inserter(entries));
    }
    return entries;
}

} // namespace

int run_explain(command_context& call)
{
    const std::string request = call.text("<request>").value_or("");
    const auto entries = read_logs(call, call.text("<files>").value_or(""));
    if (!entries) {
        return exit_usage;
    }
    const auto found = explain_request(*entries, request);
    if (found.empty()) {
        call.io().err << "no line names the request " << request << '\n';
        return exit_refused;
    }
    if (call.json()) {
        nlohmann::json list = nlohmann::json::array();
        for (const log_entry& line : found) {
            list.push_back({{"source", line.source}, {"line", line.text}});
        }
        call.print(list);
        return exit_done;
    }
    for (const log_entry& line : found) {
        call.io().out << line.source << "  " << line.text << '\n';
    }
    return exit_done;
}

} // namespace lagoonferry
