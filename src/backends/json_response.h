#pragma once

#include "backends/http_connection.h"
#include "util/failure.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace lagoonferry {

/// Converts a call that did not succeed to a failure: `not_sent` becomes `not_sent_code`, a missing response
/// `outcome_unknown`, status 429 `overloaded`, 503 `platform_unavailable` and any other status `target_failed`.
/// Thread-safe.
failure describe_failure(const http_response& response, result_code not_sent_code);

/// Parses the JSON body of a response with status 200 and converts it with `read`. Returns nothing and sets `reason`
/// for another status, a missing response or a malformed body. Thread-safe.
template <class Read>
auto read_json_response(const http_response& response, failure& reason, Read&& read)
    -> std::optional<decltype(read(std::declval<const nlohmann::json&>()))>
{
    if (response.end != call_end::answered || response.status != 200) {
        reason = describe_failure(response, result_code::platform_unavailable);
        return std::nullopt;
    }
    try {
        return read(nlohmann::json::parse(response.body));
    }
    catch (const nlohmann::json::exception& error) {
        reason = {result_code::malformed, std::string("malformed response: ") + error.what()};
        return std::nullopt;
    }
}

} // namespace lagoonferry
