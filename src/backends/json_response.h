#pragma once

#include "backends/http_connection.h"
#include "util/failure.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace lagoonferry {

/// Describes a call that did not end with the wanted status: `not_sent` becomes `not_sent_code`, a missing reply
/// `outcome_unknown`, 429 `overloaded`, 503 `platform_unavailable` and any other status `target_failed`. Thread-safe.
failure describe_failure(const http_response& reply, result_code not_sent_code);

/// Reads the JSON body of a reply with status 200 by `read(json)`. Returns nothing and sets `why` for another status, a
/// missing reply or a body of another form. Thread-safe.
template <class Read>
auto read_json_response(const http_response& reply, failure& why, Read&& read)
    -> std::optional<decltype(read(std::declval<const nlohmann::json&>()))>
{
    if (reply.end != call_end::answered || reply.status != 200) {
        why = describe_failure(reply, result_code::platform_unavailable);
        return std::nullopt;
    }
    try {
        return read(nlohmann::json::parse(reply.body));
    }
    catch (const nlohmann::json::exception& error) {
        why = {result_code::malformed, std::string("malformed reply: ") + error.what()};
        return std::nullopt;
    }
}

} // namespace lagoonferry
