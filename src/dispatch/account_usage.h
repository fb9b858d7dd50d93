#pragma once

#include "util/time.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lagoonferry {

/// Tokens each account has used recently, halved every `half_life`. Not thread-safe.
class account_usage {
public:
    explicit account_usage(timestamp half_life) : m_half_life(half_life) {}

    /// Adds `tokens` of service for the account.
    void add(std::string_view account, double tokens, timestamp now);

    /// Sets the weights of accounts; others weigh as much as the mean of these. Precondition: every weight is above 0.
    void set_weights(const std::map<std::string, double, std::less<>>& weights);

    /// Decayed tokens of the account, divided by its weight relative to the mean weight; 0 for an account that has not
    /// been seen.
    double weighted_usage(std::string_view account, timestamp now) const;

    /// Drops accounts whose share has decayed to less than a token.
    void prune(timestamp now);

    std::size_t size() const { return m_shares.size(); }

private:
    struct share {
        double tokens = 0;
        timestamp at{0};
    };
    struct string_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>{}(s); }
    };

    double decayed(const share& s, timestamp now) const;

    timestamp m_half_life;
    std::unordered_map<std::string, double, string_hash, std::equal_to<>> m_relative_weights;
    std::unordered_map<std::string, share, string_hash, std::equal_to<>> m_shares;
};

} // namespace lagoonferry
