#include "dispatch/account_usage.h"

#include <cmath>
#include <numeric>

namespace lagoonferry {

double account_usage::decayed(const usage& s, timestamp now) const
{
    const auto age = static_cast<double>((now - s.at).count());
    return s.tokens * std::exp2(-age / static_cast<double>(m_half_life.count()));
}

void account_usage::add(std::string_view account, double tokens, timestamp now)
{
    auto it = m_usage.find(account);
    if (it == m_usage.end()) {
        it = m_usage.emplace(std::string(account), usage{0, now}).first;
    }
    it->second = {decayed(it->second, now) + tokens, now};
}

double account_usage::weighted_usage(std::string_view account, timestamp now) const
{
    const auto it = m_usage.find(account);
    if (it == m_usage.end()) {
        return 0;
    }
    const auto weight = m_relative_weights.find(account);
    return decayed(it->second, now) / (weight == m_relative_weights.end() ? 1 : weight->second);
}

void account_usage::set_weights(const std::map<std::string, double, std::less<>>& weights)
{
    m_relative_weights.clear();
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0,
                                       [](double total, const auto& item) { return total + item.second; });
    for (const auto& [account, weight] : weights) {
        m_relative_weights[account] = weight * static_cast<double>(weights.size()) / sum;
    }
}

void account_usage::prune(timestamp now)
{
    std::erase_if(m_usage, [&](const auto& item) { return decayed(item.second, now) < 1; });
}

} // namespace lagoonferry
