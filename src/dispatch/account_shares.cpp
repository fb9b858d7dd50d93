#include "dispatch/account_shares.h"

#include <cmath>

namespace lagoonferry {

double account_shares::decayed(const share& s, timestamp now) const
{
    const auto age = static_cast<double>((now - s.at).count());
    return s.tokens * std::exp2(-age / static_cast<double>(m_half_life.count()));
}

void account_shares::add(std::string_view account, double tokens, timestamp now)
{
    auto it = m_shares.find(account);
    if (it == m_shares.end()) {
        it = m_shares.emplace(std::string(account), share{0, now}).first;
    }
    it->second = {decayed(it->second, now) + tokens, now};
}

double account_shares::of(std::string_view account, timestamp now) const
{
    const auto it = m_shares.find(account);
    return it == m_shares.end() ? 0 : decayed(it->second, now);
}

void account_shares::prune(timestamp now)
{
    std::erase_if(m_shares, [&](const auto& item) { return decayed(item.second, now) < 1; });
}

} // namespace lagoonferry
