#include "journal/budget.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace lagoonferry {

namespace {

std::uint64_t saturating_add(std::uint64_t a, std::uint64_t b)
{
    return a > std::numeric_limits<std::uint64_t>::max() - b ? std::numeric_limits<std::uint64_t>::max() : a + b;
}

std::uint64_t saturating_subtract(std::uint64_t a, std::uint64_t b)
{
    return a > b ? a - b : 0;
}

} // namespace

budget operator+(const budget& a, const budget& b)
{
    return {saturating_add(a.tokens, b.tokens), saturating_add(a.calls, b.calls), saturating_add(a.money, b.money)};
}

budget operator-(const budget& a, const budget& b)
{
    return {saturating_subtract(a.tokens, b.tokens), saturating_subtract(a.calls, b.calls),
            saturating_subtract(a.money, b.money)};
}

bool fits(const budget& a, const budget& limit)
{
    return a.tokens <= limit.tokens && a.calls <= limit.calls && a.money <= limit.money;
}

budget elementwise_min(const budget& a, const budget& b)
{
    return {std::min(a.tokens, b.tokens), std::min(a.calls, b.calls), std::min(a.money, b.money)};
}

budget elementwise_max(const budget& a, const budget& b)
{
    return {std::max(a.tokens, b.tokens), std::max(a.calls, b.calls), std::max(a.money, b.money)};
}

void to_json(nlohmann::json& out, const budget& value)
{
    out = nlohmann::json::array({value.tokens, value.calls, value.money});
}

void from_json(const nlohmann::json& in, budget& value)
{
    in.at(0).get_to(value.tokens);
    in.at(1).get_to(value.calls);
    in.at(2).get_to(value.money);
}

} // namespace lagoonferry
