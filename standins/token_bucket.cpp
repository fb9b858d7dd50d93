#include "token_bucket.h"

#include <algorithm>

namespace lagoonferry::standin {

namespace {

double burst_size(double rate)
{
    return std::max(1.0, rate / 10);
}

} // namespace

void token_bucket::set_rate(double per_second)
{
    m_rate = per_second;
    m_tokens = burst_size(per_second);
}

bool token_bucket::take(timestamp now)
{
    if (m_rate <= 0) {
        return true;
    }
    const double elapsed = std::chrono::duration<double>(now - m_updated).count();
    m_tokens = std::min(burst_size(m_rate), m_tokens + elapsed * m_rate);
    m_updated = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace lagoonferry::standin
