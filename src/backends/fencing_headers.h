#pragma once

#include "backends/fencing_token.h"
#include "backends/http_connection.h"

#include <optional>

namespace lagoonferry {

/// Adds `X-Fence` and, for a named scope, `X-Fence-Scope`. Thread-safe.
void add_fencing_headers(http_headers& headers, const std::optional<fencing_token>& fence);

} // namespace lagoonferry
