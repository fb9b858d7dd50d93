#include "limits/prepaid_requests.h"

#include <algorithm>
#include <ranges>

namespace lagoonferry {

namespace {

/// Maximum requests that are asked for at once.
constexpr std::uint32_t max_batch = 50;

/// Accounts without requests for this time are forgotten.
constexpr timestamp retention = std::chrono::seconds(10);

} // namespace

std::optional<std::string> prepaid_requests::take(std::string_view account, bool may_use, timestamp now)
{
    account_state& state = m_accounts.try_emplace(std::string(account)).first->second;
    if (now - state.slot_start >= lifetime) {
        state.expected = now - state.slot_start < 2 * lifetime ? state.arrived : 0;
        state.arrived = 0;
        state.slot_start = now;
    }
    ++state.arrived;
    if (!may_use || state.held.count == 0 || now >= state.held.expires) {
        return std::nullopt;
    }
    --state.held.count;
    return state.held.granter;
}

std::uint32_t prepaid_requests::expected(std::string_view account) const
{
    const auto it = m_accounts.find(account);
    return it == m_accounts.end() ? 1 : std::clamp<std::uint32_t>(it->second.expected, 1, max_batch);
}

void prepaid_requests::add(const std::string& account, grant added, const std::function<void(const grant&)>& unused)
{
    grant& held = m_accounts[account].held;
    if (held.count > 0 && held.granter == added.granter) {
        added.count += held.count;
    }
    else if (held.count > 0) {
        unused(held);
    }
    held = std::move(added);
}

void prepaid_requests::expire(timestamp now,
                              const std::function<void(const std::string& account, const grant&)>& unused)
{
    for (auto& [account, state] : m_accounts) {
        if (state.held.count > 0 && now >= state.held.expires) {
            unused(account, state.held);
            state.held.count = 0;
        }
    }
    std::erase_if(m_accounts, [now](const auto& pair) {
        return pair.second.held.count == 0 && now - pair.second.slot_start > retention;
    });
}

std::optional<timestamp> prepaid_requests::next_expiry() const
{
    std::optional<timestamp> next;
    for (const account_state& state : m_accounts | std::views::values) {
        if (state.held.count > 0 && (!next || state.held.expires < *next)) {
            next = state.held.expires;
        }
    }
    return next;
}

} // namespace lagoonferry
