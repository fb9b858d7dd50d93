#pragma once

#include "ledger/budget_messages.h"
#include "ledger/budget_record.h"
#include "util/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

struct budget_rules {
    /// Part of a budget that counts as spent when a record is lost. A first owner may spend this part and one turn at
    /// its most without a mark in the store, so most programs need no call to the store.
    double unpersisted_share = 0.3;
    /// Part up to which marks are written in steps of `unpersisted_share`; beyond it for one turn at a time, so that a
    /// lost record wastes no more than one turn near the end of the budget.
    double coarse_step_share = 0.7;
    /// A turn whose end was not told counts in full after this time. Longer than any turn lasts.
    timestamp reservation_timeout = std::chrono::seconds(12);
    /// How long a record is kept after the last turn.
    timestamp record_retention = std::chrono::seconds(75);
};

/// What the ledger needs before it can decide.
enum class ledger_decision {
    granted,
    exhausted,
    needs_record,          ///< another gateway may know the program: ask it, then call `adopt` or `start_record`
    needs_high_water_mark, ///< write the mark in the store, then call `set_high_water_mark` with what it holds
};

/// A conditional write that allows spending up to `high_water_mark`.
struct high_water_mark_write {
    std::uint64_t high_water_mark = 0;
    std::uint64_t revision = 0; ///< of the present mark; 0: none, as far as this process knows
};

/// Counts the spending of programs, at their owner and as copies of other owners' records. Unwritten spending is
/// bounded by `unpersisted_share` for each loss of a record; everything beyond is written ahead of use. Decision code
/// without I/O; one owner, not thread-safe.
class budget_ledger {
public:
    explicit budget_ledger(budget_rules rules = {}) : m_rules(rules) {}

    /// Decides on a turn. A repeated request gets the same answer. `granted` reserves the turn's tokens.
    ledger_decision reserve(const budget_request& request, timestamp now);

    /// Starts a record for a program of which nothing is known. `known_unspent`: nothing was spent before. Otherwise
    /// the unmarked part counts as spent.
    void start_record(const budget_request& request, bool known_unspent, timestamp now);

    /// Takes the record of another gateway in place of one's own copy. An older one is ignored.
    void adopt(std::string_view program, const budget_record& other, timestamp now);

    /// Joins the record of a gateway that decided for this one with one's own: what it granted is added.
    void merge(std::string_view program, const budget_record& other, timestamp now);

    /// Notes that turns granted from now on are decided in place of a silent owner, until the record is adopted again.
    void act_for_owner(std::string_view program);

    /// Allows one more turn like `request` without a mark, once for each program: another gateway may be granting turns
    /// of the program too, and a budget may be exceeded by one turn.
    void restrict_unpersisted(const budget_request& request);

    /// Returns the write that is needed before the turn can be granted. Precondition: `reserve` returned
    /// needs_high_water_mark.
    high_water_mark_write required_write(const budget_request& request) const;

    /// Notes the mark in the store, written by this process (`high_water_mark` as ordered) or found there.
    void set_high_water_mark(std::string_view program, std::uint64_t high_water_mark, std::uint64_t revision,
                             bool written_here);

    /// Ends a turn. Returns false if the program is not known.
    bool settle(const budget_settlement& message, timestamp now);

    const budget_record* find(std::string_view program) const;
    /// Returns where a line of turns ran last, or the line that started it. The first line has the program's name.
    session_location location_of(std::string_view program, std::string_view session) const;

    /// Counts reservations whose end was not told in full, and forgets old records.
    void expire(timestamp now);

    std::vector<std::string> programs() const;
    void erase(std::string_view program);

private:
    std::uint64_t unpersisted_allowance(std::uint64_t budget) const;

    budget_rules m_rules;
    std::map<std::string, budget_record, std::less<>> m_records;
    std::set<std::string, std::less<>> m_acting_for_owner;
    std::set<std::string, std::less<>> m_restricted; ///< programs without further unmarked spending
};

} // namespace lagoonferry
