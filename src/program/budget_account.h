#pragma once

#include "journal/budget.h"

#include <cstdint>
#include <optional>

namespace lagoonferry {

/// The budget of one program. Before use, an amount is reserved here and covered by a mark in the log; after use it is
/// settled. A program's own spending, its reservations and its children never exceed the limits. One thread at a time.
class budget_account {
public:
    budget_account() = default;

    budget_account(const budget& limits, std::uint32_t high_water_mark_chunks);

    /// Continues from the log after a takeover: everything up to the last mark counts as spent.
    void restore(const budget& high_water_mark, const budget& children);

    /// Reserves an amount. Returns false, without effect, if it does not fit.
    bool reserve(const budget& amount);

    /// Replaces a reservation by what was used.
    void settle(const budget& reserved, const budget& used);

    /// Returns the mark to append before reserved amounts may be used, or nothing if the last mark covers them.
    std::optional<budget> next_high_water_mark() const;

    /// Returns the mark to append before a child with this share is opened, or nothing if the last mark leaves room.
    std::optional<budget> high_water_mark_for_child(const budget& share) const;

    void set_mark(const budget& mark) { m_marked = mark; }

    /// Gives a share to a child. Returns false, without effect, if it does not fit.
    bool open_child(const budget& share);

    /// Takes back what an ended child has not spent.
    void end_child(const budget& share, const budget& spent);

    const budget& limits() const { return m_limits; }
    const budget& high_water_mark() const { return m_marked; }

    /// Spent or reserved by the program itself.
    budget used() const { return m_spent + m_reserved; }

    /// Everything that may have been spent: own spending, reservations, children.
    budget committed() const { return m_spent + m_reserved + m_children; }

private:
    budget m_limits;
    std::uint32_t m_high_water_mark_chunks = 4;
    budget m_spent;
    budget m_reserved;
    budget m_marked;
    budget m_children;
};

} // namespace lagoonferry
