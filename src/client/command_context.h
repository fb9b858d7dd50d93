#pragma once

#include "client/client_io.h"
#include "client/control_client.h"
#include "settings/docopt_args.h"

#include <optional>
#include <string>

namespace lagoonferry {

/// The context in which an operators' command runs: its arguments, its output and its connection to the entries. Not
/// thread-safe.
class command_context {
public:
    command_context(docopt_values values, client_io& io) : m_values(std::move(values)), m_io(io) {}

    client_io& io() { return m_io; }

    /// Returns the value of a positional argument or an option, or nothing when it was not given.
    std::optional<std::string> argument(const std::string& name) const { return argument_value(m_values, name); }

    /// Returns whether --json was given.
    bool json_output() const { return has_flag(m_values, "--json"); }

    /// Returns whether a flag without argument was given.
    bool flag(const std::string& name) const { return has_flag(m_values, name); }

    /// Returns the value of an option as an unsigned integer. Prints an error and returns nothing when it is not one.
    std::optional<std::uint64_t> parse_number(const std::string& name);

    /// Returns a client for the entries and with the operator key that the options or environment variables give.
    /// Prints an error and returns nothing when they are missing or not valid.
    std::optional<control_client> connect();

    /// Prints why a request failed and returns the exit status: exit_refused if it was refused,
    /// exit_unreachable if there was no response or the outcome is unknown. Precondition: !response.succeeded().
    int report_failure(const control_response& response);

    /// Prints a usage error and returns exit_usage.
    int usage_error(const std::string& text);

    /// Prints an indented JSON document to standard output.
    void print_json(const nlohmann::json& value);

private:
    std::optional<std::string> option_or_variable(const std::string& option, const std::string& variable) const;
    std::optional<secret> operator_key();

    docopt_values m_values;
    client_io& m_io;
};

} // namespace lagoonferry
