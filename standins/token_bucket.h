#pragma once

#include "util/time.h"

namespace lagoonferry::standin {

/// Rate limiter whose burst size is a tenth of a second of calls, but at least one. Not thread-safe.
class token_bucket {
public:
    /// Sets the rate in calls per second; 0 disables the limit.
    void set_rate(double per_second);

    /// Takes a token for one call. Returns false if the rate is exceeded at `now`.
    bool take(timestamp now);

private:
    double m_rate = 0;
    double m_tokens = 0;
    timestamp m_updated{0};
};

} // namespace lagoonferry::standin
