#pragma once

#include "entry/call_options.h"
#include "entry/caller_identity.h"
#include "journal/budget.h"
#include "program/event.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace httplib {
struct Request;
}

namespace lagoonferry {

/// Parses a JSON object, or returns nothing with the refusal `malformed`. Thread-safe.
std::optional<nlohmann::json> read_object(const std::string& body, refusal& error);

/// Reads the headers X-Class and X-Deadline-Ms. The account must permit the class. Thread-safe.
std::optional<call_options> read_options(const httplib::Request& request, const caller_identity& caller,
                                         refusal& error);

/// Reads the body and headers of a chat completion into an event. Its program and account stay empty. Thread-safe.
std::optional<begin_turn> read_turn(const httplib::Request& request, const nlohmann::json& body, refusal& error);

/// Returns the members of a chat completion that are passed on to the engine, as a JSON string. Thread-safe.
std::string engine_parameters(const nlohmann::json& body);

/// Reads the budget that the caller requests for a new program, capped at the limits of the document. Thread-safe.
std::optional<budget> read_budget(const nlohmann::json& body, const budget_limits& limits, refusal& error);

} // namespace lagoonferry
