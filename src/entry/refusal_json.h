#pragma once

#include "program/action.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace httplib {
struct Response;
}

namespace lagoonferry {

/// Returns the JSON body of a refusal. Thread-safe.
nlohmann::json refusal_json(const refusal& value);

/// Sets a refusal as the response: HTTP status, body and `Retry-After`. Thread-safe.
void send_refusal(httplib::Response& response, const refusal& value);

/// Creates the refusal of a request that has not run. Thread-safe.
refusal make_refusal(result_code code, std::string text, std::uint64_t retry_after_ms = 0);

} // namespace lagoonferry
