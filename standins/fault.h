#pragma once

#include <chrono>
#include <cstdint>

namespace lagoonferry::standin {

/// Faults injected into one call to a stand-in. The default is a call without faults.
struct fault {
    std::chrono::milliseconds slow{0}; ///< delay before the call takes effect
    bool outage = false;               ///< the response is 503 and the call has no effect
    bool hang = false;       ///< no response until the faults are cleared; no effect unless `lose_reply` is set
    bool lose_reply = false; ///< the call takes effect, then the connection closes without a response
    std::uint32_t cut_after_tokens = 0; ///< the connection of a completion closes after this many tokens; 0: off
    std::chrono::milliseconds lag{0};   ///< age of the state that reports show
    bool lose_reports = false;          ///< reports that become due are never published
    double slow_factor = 1;             ///< factor by which an engine generates tokens more slowly
    bool ignore_fence = false;          ///< stale fencing tokens are accepted
    bool refuse_fence = false;          ///< every call with a fencing token is refused
};

} // namespace lagoonferry::standin
