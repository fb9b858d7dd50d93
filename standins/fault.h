#pragma once

#include <chrono>
#include <cstdint>

namespace lagoonferry::standin {

/// What goes wrong in one call to a stand-in. The default is a call without faults.
struct fault {
    std::chrono::milliseconds slow{0};  ///< delay before the call takes effect
    bool outage = false;                ///< the call is answered 503 and has no effect
    bool hang = false;                  ///< no answer until the faults are cleared; without `lose_reply` also no effect
    bool lose_reply = false;            ///< the call takes effect, then its connection closes without an answer
    std::uint32_t cut_after_tokens = 0; ///< a completion's connection closes after this many tokens; 0: off
    std::chrono::milliseconds lag{0};   ///< reports describe the state this long ago
    bool lose_reports = false;          ///< reports that become due are never published
    double slow_factor = 1;             ///< an engine generates this many times slower
    bool ignore_fence = false;          ///< stale fencing tokens are accepted
    bool refuse_fence = false;          ///< every call with a fencing token is refused
};

} // namespace lagoonferry::standin
