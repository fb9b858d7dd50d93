#pragma once

#include "client/client_io.h"
#include "client/control_client.h"
#include "settings/docopt_args.h"

#include <optional>
#include <string>

namespace lagoonferry {

/// One run of an operators' command: its arguments, its output and the way to an entry. Not thread-safe.
class command_context {
public:
    command_context(docopt_values values, client_io& io) : m_values(std::move(values)), m_io(io) {}

    client_io& io() { return m_io; }

    /// Returns an argument or option, or nothing when it was not given.
    std::optional<std::string> text(const std::string& name) const { return argument_value(m_values, name); }

    /// Returns whether the output is JSON.
    bool json() const { return has_flag(m_values, "--json"); }

    bool flag(const std::string& name) const { return has_flag(m_values, name); }

    /// Reads an option that is a whole number. Returns nothing after printing a fault when it is not.
    std::optional<std::uint64_t> number(const std::string& name);

    /// Returns the client of the entries and the key that the options or variables name, or nothing after printing a
    /// fault.
    std::optional<control_client> connect();

    /// Prints why a request was not done and returns the exit status: exit_refused for a refusal, exit_unreachable
    /// without an answer or when the outcome is unknown. Precondition: !reply.done().
    int report_failure(const control_response& reply);

    /// Prints a fault of usage and returns exit_usage.
    int usage_error(const std::string& text);

    /// Prints JSON as one document.
    void print(const nlohmann::json& value);

private:
    std::optional<std::string> text_or_variable(const std::string& option, const std::string& variable) const;
    std::optional<secret> operator_key();

    docopt_values m_values;
    client_io& m_io;
};

} // namespace lagoonferry
