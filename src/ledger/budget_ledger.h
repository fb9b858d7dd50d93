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
#include <utility>
#include <vector>

namespace lagoonferry {

struct budget_rules {
    /// Share of a budget that counts as used when a record is lost. The first owner may grant this share plus one turn
    /// without a high-water mark in the store, so most programs need no call to the store.
    double unpersisted_share = 0.3;
    /// Share of a budget up to which the high-water mark advances in steps of `unpersisted_share`. Beyond it, the mark
    /// advances by one turn at a time, so that a record lost near the end of the budget wastes no more than one turn.
    double coarse_step_share = 0.7;
    /// A turn whose end was not reported counts in full after this time. It is longer than any turn.
    timestamp reservation_timeout = std::chrono::seconds(12);
    /// How long a record is kept after its last use.
    timestamp record_retention = std::chrono::seconds(75);
};

/// The outcome of `reserve`: a decision, or what the caller must do before the ledger can decide.
enum class ledger_decision {
    granted,
    exhausted,
    needs_record,          ///< another gateway may have the record: request it, then call `join` or `start_record`
    needs_high_water_mark, ///< write the mark to the store, then call `set_high_water_mark` with the stored one
};

/// A conditional write to the store that allows a total usage of up to `high_water_mark` tokens.
struct high_water_mark_write {
    std::uint64_t high_water_mark = 0;
    std::uint64_t revision = 0; ///< expected revision of the current mark; 0: none is known
    std::uint64_t series = 0;   ///< own series of the record; no other process or record has the same
};

/// Counts the token usage of programs that this process owns, and holds copies of other owners' records. For each lost
/// record, usage without a stored high-water mark is bounded by `unpersisted_share`; beyond that, the mark is written
/// before the tokens are granted. Performs no I/O. Not thread-safe.
class budget_ledger {
public:
    explicit budget_ledger(budget_rules rules = {});

    /// Decides on a turn. `granted` reserves the turn's tokens. Repeating a granted request reserves nothing more.
    ledger_decision reserve(const budget_request& request, timestamp now);

    /// Starts a record for a program that has none here. If `known_unspent`, the program has used no tokens before.
    /// Otherwise the unpersisted share of its budget counts as used.
    void start_record(const budget_request& request, bool known_unspent, timestamp now);

    /// Joins the record of another gateway with the own one. Records may arrive late, in any order and repeatedly.
    void join(std::string_view program, const budget_record& other, timestamp now);

    /// Counts as used all that other gateways may have granted since the copy here was made, without a change of the
    /// mark in the store that this record knows. Used when no gateway has a complete record.
    void presume_unknown_turns(std::string_view program);

    /// Limits the usage without a stored high-water mark to one more turn like `request`; only the first call for a
    /// program has an effect. Used when another gateway may also be granting turns of the program, because a budget may
    /// be exceeded by one turn at most.
    void restrict_unpersisted(const budget_request& request);

    /// Returns the write to the store that is needed before the turn can be granted. Precondition: `reserve` returned
    /// `needs_high_water_mark`.
    high_water_mark_write required_write(const budget_request& request) const;

    /// Records the mark that the store holds. `written_here`: it was written for this record, with the value of
    /// `required_write`, and not for one that this process or an earlier one had of the program before.
    void set_high_water_mark(std::string_view program, std::uint64_t high_water_mark, std::uint64_t revision,
                             bool written_here);

    /// Ends a turn: replaces its reservation by the tokens it used. Returns false if no such turn is open.
    bool settle(const budget_settlement& message, timestamp now);

    const budget_record* find(std::string_view program) const;

    /// Returns the location of a session or, if unknown, of the program's first session, whose id is the program id.
    session_location location_of(std::string_view program, std::string_view session) const;

    /// Returns whether the only turn of a program so far is the one that is reserved.
    bool is_first_turn(std::string_view program) const;

    /// Counts reservations in full whose turn did not report its end in time, and deletes old records.
    void expire(timestamp now);

    std::vector<std::string> programs() const;
    void erase(std::string_view program);

private:
    std::uint64_t unpersisted_allowance(std::uint64_t budget) const;
    std::pair<budget_record&, bool> find_or_create(std::string_view program);

    budget_rules m_rules;
    std::uint64_t m_next_series; ///< random at first, so that the series of all processes differ
    std::map<std::string, budget_record, std::less<>> m_records;
    std::set<std::string, std::less<>> m_restricted; ///< programs for which `restrict_unpersisted` was called
};

} // namespace lagoonferry
