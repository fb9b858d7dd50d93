#pragma once

#include "journal/budget.h"

#include <cstdint>
#include <optional>

namespace lagoonferry {

/// The budget of one program. An amount is reserved before its use and settled afterwards. It may be used once a
/// high-water mark in the log covers it. The program's own spending, its reservations and the limits of its children
/// together never exceed the program's limits. One thread at a time.
class budget_account {
public:
    budget_account() = default;

    budget_account(const budget& limits, std::uint32_t high_water_mark_chunks);

    /// Restores the state from the log after a takeover. Everything up to the last high-water mark counts as spent.
    void restore(const budget& high_water_mark, const budget& children);

    /// Reserves an amount. Returns false, without effect, if it does not fit.
    bool reserve(const budget& amount);

    /// Replaces a reservation by the amount that was used.
    void settle(const budget& reserved, const budget& used);

    /// Returns the high-water mark to append before reserved amounts may be used, or nothing if the last one covers
    /// them.
    std::optional<budget> next_high_water_mark() const;

    /// Returns the lower high-water mark to append before a child with these limits is opened, or nothing if the last
    /// mark leaves enough headroom.
    std::optional<budget> high_water_mark_for_child(const budget& child_limits) const;

    void set_high_water_mark(const budget& high_water_mark) { m_high_water_mark = high_water_mark; }

    /// Allocates the limits of a child. Returns false, without effect, if they do not fit.
    bool open_child(const budget& child_limits);

    /// Releases the limits of an ended child, except for the amount that it has spent.
    void end_child(const budget& child_limits, const budget& spent);

    const budget& limits() const { return m_limits; }
    const budget& high_water_mark() const { return m_high_water_mark; }

    /// Spent or reserved by the program itself.
    budget used() const { return m_spent + m_reserved; }

    /// Upper bound of the total spending: own spending, reservations and children.
    budget committed() const { return m_spent + m_reserved + m_children; }

private:
    budget m_limits;
    std::uint32_t m_high_water_mark_chunks = 4;
    budget m_spent;
    budget m_reserved;
    budget m_high_water_mark;
    budget m_children;
};

} // namespace lagoonferry
