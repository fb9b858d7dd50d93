#pragma once

#include "util/time.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lagoonferry {

/// Recent token usage per account, with exponential decay: a sample loses half of its value every `half_life`. Not
/// thread-safe.
class account_usage {
public:
    explicit account_usage(timestamp half_life) : m_half_life(half_life) {}

    /// Adds `tokens` to the usage of the account.
    void add(std::string_view account, double tokens, timestamp now);

    /// Sets the weights of the accounts. An account without a weight counts with the mean weight. Precondition: every
    /// weight is above 0.
    void set_weights(const std::map<std::string, double, std::less<>>& weights);

    /// Returns the decayed usage of the account in tokens, divided by its weight relative to the mean weight; 0 for an
    /// unknown account.
    double weighted_usage(std::string_view account, timestamp now) const;

    /// Removes accounts whose usage has decayed to less than one token.
    void prune(timestamp now);

    std::size_t size() const { return m_usage.size(); }

private:
    struct usage {
        double tokens = 0;
        timestamp at{0};
    };
    struct string_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>{}(s); }
    };

    double decayed(const usage& s, timestamp now) const;

    timestamp m_half_life;
    std::unordered_map<std::string, double, string_hash, std::equal_to<>> m_relative_weights;
    std::unordered_map<std::string, usage, string_hash, std::equal_to<>> m_usage;
};

} // namespace lagoonferry
