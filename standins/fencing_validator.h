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

/// Rejects stale fencing tokens: keeps the highest token that a target has seen in each scope. Not thread-safe.
class fencing_validator {
public:
    /// Returns whether a call with this token may run. A call without a token may always run. A token below the highest
    /// token of its scope is stale. `effect` can accept all tokens or refuse all tokens.
    bool admit(const std::optional<fencing_token>& token, const fault& effect);

private:
    std::map<std::string, std::uint64_t> m_highest;
};

/// Reads the headers `X-Fence` and `X-Fence-Scope`. Returns nothing if `X-Fence` is absent. Thread-safe.
std::optional<fencing_token> read_fencing_token(const httplib::Request& request);

} // namespace lagoonferry::standin
