#pragma once

#include "fault.h"

#include "backends/fencing_token.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace httplib {
struct Request;
}

namespace lagoonferry::standin {

/// The highest fencing token that a target has seen in each scope. One thread at a time.
class fencing_validator {
public:
    /// Returns whether a call with this token, or without one, may run. A token below the highest one of its scope is
    /// stale, unless `effect` ignores tokens.
    bool admit(const std::optional<fencing_token>& token, const fault& effect);

private:
    std::map<std::string, std::uint64_t> m_highest;
};

/// Reads `X-Fence` and `X-Fence-Scope`, or nothing without the former. Thread-safe.
std::optional<fencing_token> read_fencing_token(const httplib::Request& request);

} // namespace lagoonferry::standin
