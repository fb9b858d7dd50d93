#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace lagoonferry {

/// Amounts of the three resources that are limited for each program.
struct budget {
    std::uint64_t tokens = 0;
    std::uint64_t calls = 0;
    std::uint64_t money = 0; ///< micro-units of the account's currency

    bool operator==(const budget&) const = default;
};

/// Returns the sum of each resource, saturating at the maximum of its type.
/// All functions of this header are thread-safe.
budget operator+(const budget& a, const budget& b);

/// Returns the difference of each resource, saturating at 0.
budget operator-(const budget& a, const budget& b);

/// Returns whether every resource of `a` is at most that of `limit`.
bool fits(const budget& a, const budget& limit);

/// Returns the smaller amount of each resource.
budget elementwise_min(const budget& a, const budget& b);

/// Returns the larger amount of each resource.
budget elementwise_max(const budget& a, const budget& b);

void to_json(nlohmann::json& out, const budget& value);
void from_json(const nlohmann::json& in, budget& value);

} // namespace lagoonferry
