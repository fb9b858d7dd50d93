#include "program/budget_account.h"

#include <algorithm>

namespace lagoonferry {

namespace {

budget divide(const budget& amount, std::uint32_t parts)
{
    return {amount.tokens / parts, amount.calls / parts, amount.money / parts};
}

} // namespace

budget_account::budget_account(const budget& limits, std::uint32_t high_water_mark_chunks)
    : m_limits(limits), m_high_water_mark_chunks(std::max<std::uint32_t>(high_water_mark_chunks, 1))
{
}

void budget_account::restore(const budget& high_water_mark, const budget& children)
{
    m_high_water_mark = high_water_mark;
    m_spent = high_water_mark;
    m_children = children;
}

bool budget_account::reserve(const budget& amount)
{
    if (!fits(committed() + amount, m_limits)) {
        return false;
    }
    m_reserved = m_reserved + amount;
    return true;
}

void budget_account::settle(const budget& reserved, const budget& used)
{
    m_reserved = m_reserved - reserved;
    m_spent = m_spent + used;
}

std::optional<budget> budget_account::next_high_water_mark() const
{
    const budget needed = m_spent + m_reserved;
    if (fits(needed, m_high_water_mark)) {
        return std::nullopt;
    }
    const budget chunk = elementwise_max(needed, m_high_water_mark + divide(m_limits, m_high_water_mark_chunks));
    return elementwise_min(chunk, m_limits - m_children);
}

std::optional<budget> budget_account::high_water_mark_for_child(const budget& child_limits) const
{
    if (fits(m_high_water_mark + m_children + child_limits, m_limits)) {
        return std::nullopt;
    }
    return elementwise_min(m_high_water_mark, m_limits - m_children - child_limits);
}

bool budget_account::open_child(const budget& child_limits)
{
    if (!fits(committed() + child_limits, m_limits)) {
        return false;
    }
    m_children = m_children + child_limits;
    return true;
}

void budget_account::end_child(const budget& child_limits, const budget& spent)
{
    m_children = m_children - (child_limits - spent);
}

} // namespace lagoonferry
