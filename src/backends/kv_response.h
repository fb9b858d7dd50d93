#pragma once

#include "backends/http_connection.h"
#include "backends/kv_store.h"
#include "util/failure.h"

#include <string_view>

namespace lagoonferry {

/// Builds the request for a conditional write ("PUT") or removal ("DELETE") of one key. Thread-safe.
http_request kv_write_request(std::string_view method, std::string_view key, std::uint64_t expected,
                              std::string_view value);

/// Classifies the response to a conditional write or removal, and sets `reason` unless the status is `ok` or
/// `conflict`. Thread-safe.
kv_write read_kv_write(const http_response& response, failure& reason);

/// Returns the value of the `X-Version` header, or nothing if it is missing or malformed. Thread-safe.
std::optional<std::uint64_t> read_version(const http_response& response);

} // namespace lagoonferry
