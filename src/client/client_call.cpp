#include "client/client_call.h"

#include "settings/setting_text.h"

#include <charconv>
#include <ostream>

namespace lagoonferry {

namespace {

constexpr const char* default_entry = "127.0.0.1:8080";

std::string message_of(const control_reply& reply)
{
    if (!reply.body.is_object() || !reply.body.contains("error") || !reply.body["error"].is_object()) {
        return "HTTP status " + std::to_string(reply.status);
    }
    const nlohmann::json& error = reply.body["error"];
    std::string text = error.value("name", "") + " (" + std::to_string(error.value("code", 0)) + "), " +
                       error.value("run", "") + ": " + error.value("message", "");
    const auto retry_after_ms = error.value("retry_after_ms", std::uint64_t{0});
    if (retry_after_ms > 0) {
        text += "\nretry after " + std::to_string(retry_after_ms) + " ms";
    }
    return text;
}

bool outcome_is_unknown(const control_reply& reply)
{
    return reply.end == call_end::no_reply ||
           (reply.body.is_object() && reply.body.contains("error") && reply.body["error"].is_object() &&
            reply.body["error"].value("run", "") == "outcome_unknown");
}

} // namespace

std::optional<std::uint64_t> client_call::number(const std::string& name)
{
    const std::string given = text(name).value_or("");
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(given.data(), given.data() + given.size(), value);
    if (ec != std::errc{} || end != given.data() + given.size()) {
        usage_fault(name + " \"" + given + "\" is not a whole number");
        return std::nullopt;
    }
    return value;
}

std::optional<control_client> client_call::connect()
{
    const std::string entries = text_or_variable("--entry", "LAGOONFERRY_ENTRY").value_or(default_entry);
    std::vector<endpoint> addresses;
    if (!parse_setting(entries, addresses) || addresses.empty()) {
        usage_fault("--entry \"" + entries + "\" is not valid; expected " + setting_range(addresses));
        return std::nullopt;
    }
    ranged<std::uint32_t, 100, 600'000> timeout_ms = 10'000;
    const std::string timeout = text("--timeout-ms").value_or(show_setting(timeout_ms));
    if (!parse_setting(timeout, timeout_ms)) {
        usage_fault("--timeout-ms \"" + timeout + "\" is not valid; expected " + setting_range(timeout_ms));
        return std::nullopt;
    }
    auto key = operator_key();
    if (!key) {
        return std::nullopt;
    }
    return control_client(std::move(addresses), std::move(*key), std::chrono::milliseconds(timeout_ms));
}

int client_call::fail(const control_reply& reply)
{
    const bool answered = reply.end == call_end::answered;
    const bool unknown = outcome_is_unknown(reply);
    if (json() && reply.body.is_object()) {
        print(reply.body);
    }
    m_io.err << (answered ? message_of(reply) : reply.reason) << '\n';
    if (unknown) {
        m_io.err << "it is not known whether the request took effect\n";
    }
    return answered && !unknown ? exit_refused : exit_unreachable;
}

int client_call::usage_fault(const std::string& text)
{
    m_io.err << text << '\n';
    return exit_usage;
}

void client_call::print(const nlohmann::json& value)
{
    m_io.out << value.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

std::optional<std::string> client_call::text_or_variable(const std::string& option, const std::string& variable) const
{
    auto given = text(option);
    return given ? given : m_io.variable(variable);
}

std::optional<secret> client_call::operator_key()
{
    const auto flag_path = text("--operator-key-file");
    auto key = flag_path ? std::nullopt : m_io.variable("LAGOONFERRY_OPERATOR_KEY");
    const auto path = flag_path ? flag_path : m_io.variable("LAGOONFERRY_OPERATOR_KEY_FILE");
    if (!key && path) {
        key = m_io.read_file(*path);
        if (!key) {
            usage_fault("the key file \"" + *path + "\" cannot be read");
            return std::nullopt;
        }
    }
    if (!key) {
        usage_fault("the operator key is missing: use --operator-key-file or LAGOONFERRY_OPERATOR_KEY");
        return std::nullopt;
    }
    key->erase(key->find_last_not_of("\r\n") + 1);
    return secret(std::move(*key));
}

} // namespace lagoonferry
