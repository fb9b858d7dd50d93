#include "client/command_context.h"

#include "settings/setting_text.h"

#include <charconv>
#include <ostream>

namespace lagoonferry {

namespace {

constexpr const char* default_entry = "127.0.0.1:8080";

std::string error_message(const control_response& response)
{
    if (!response.body.is_object() || !response.body.contains("error") || !response.body["error"].is_object()) {
        return "HTTP status " + std::to_string(response.status);
    }
    const nlohmann::json& error = response.body["error"];
    std::string text = error.value("name", "") + " (" + std::to_string(error.value("code", 0)) + "), " +
                       error.value("run", "") + ": " + error.value("message", "");
    const auto retry_after_ms = error.value("retry_after_ms", std::uint64_t{0});
    if (retry_after_ms > 0) {
        text += "\nretry after " + std::to_string(retry_after_ms) + " ms";
    }
    return text;
}

bool outcome_is_unknown(const control_response& response)
{
    return response.end == call_end::no_reply ||
           (response.body.is_object() && response.body.contains("error") && response.body["error"].is_object() &&
            response.body["error"].value("run", "") == "outcome_unknown");
}

} // namespace

std::optional<std::uint64_t> command_context::parse_number(const std::string& name)
{
    const std::string given = argument(name).value_or("");
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(given.data(), given.data() + given.size(), value);
    if (ec != std::errc{} || end != given.data() + given.size()) {
        usage_error(name + " \"" + given + "\" is not an unsigned integer");
        return std::nullopt;
    }
    return value;
}

std::optional<control_client> command_context::connect()
{
    const std::string entries = option_or_variable("--entry", "LAGOONFERRY_ENTRY").value_or(default_entry);
    std::vector<endpoint> addresses;
    if (!parse_setting(entries, addresses) || addresses.empty()) {
        usage_error("--entry \"" + entries + "\" is not valid; expected " + setting_range(addresses));
        return std::nullopt;
    }
    ranged<std::uint32_t, 100, 600'000> timeout_ms = 10'000;
    const std::string timeout = argument("--timeout-ms").value_or(format_setting(timeout_ms));
    if (!parse_setting(timeout, timeout_ms)) {
        usage_error("--timeout-ms \"" + timeout + "\" is not valid; expected " + setting_range(timeout_ms));
        return std::nullopt;
    }
    auto key = operator_key();
    if (!key) {
        return std::nullopt;
    }
    return control_client(std::move(addresses), std::move(*key), std::chrono::milliseconds(timeout_ms));
}

int command_context::report_failure(const control_response& response)
{
    const bool answered = response.end == call_end::answered;
    const bool unknown = outcome_is_unknown(response);
    if (json_output() && response.body.is_object()) {
        print_json(response.body);
    }
    m_io.err << (answered ? error_message(response) : response.reason) << '\n';
    if (unknown) {
        m_io.err << "it is not known whether the request took effect\n";
    }
    return answered && !unknown ? exit_refused : exit_unreachable;
}

int command_context::usage_error(const std::string& text)
{
    m_io.err << text << '\n';
    return exit_usage;
}

void command_context::print_json(const nlohmann::json& value)
{
    m_io.out << value.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

std::optional<std::string> command_context::option_or_variable(const std::string& option,
                                                               const std::string& variable) const
{
    auto given = argument(option);
    return given ? given : m_io.read_variable(variable);
}

std::optional<secret> command_context::operator_key()
{
    const auto flag_path = argument("--operator-key-file");
    auto key = flag_path ? std::nullopt : m_io.read_variable("LAGOONFERRY_OPERATOR_KEY");
    const auto path = flag_path ? flag_path : m_io.read_variable("LAGOONFERRY_OPERATOR_KEY_FILE");
    if (!key && path) {
        key = m_io.read_file(*path);
        if (!key) {
            usage_error("the key file \"" + *path + "\" cannot be read");
            return std::nullopt;
        }
    }
    if (!key) {
        usage_error("the operator key is missing: use --operator-key-file or LAGOONFERRY_OPERATOR_KEY");
        return std::nullopt;
    }
    key->erase(key->find_last_not_of("\r\n") + 1);
    return secret(std::move(*key));
}

} // namespace lagoonferry
