#pragma once

#include "util/time.h"

namespace lagoonferry::standin {

/// Limits calls to a rate with a burst of a tenth of a second. One thread at a time.
class token_bucket {
public:
    /// Sets the rate in calls per second; 0 switches the limit off.
    void set_rate(double per_second);

    /// Takes one call if the rate allows it at `now`.
    bool take(timestamp now);

private:
    double m_rate = 0;
    double m_tokens = 0;
    timestamp m_updated{0};
};

} // namespace lagoonferry::standin
