#pragma once

#include "ledger/session_location.h"
#include "util/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lagoonferry {

/// The token usage of one program. It consists of series of turns. Only the gateway that started a series adds turns to
/// it, so each turn is identified by its series and its number, and records of several gateways can be joined without
/// losing a turn or counting it twice.
struct budget_record {
    struct turn {
        std::string request;      ///< empty when the turn has ended
        std::uint64_t tokens = 0; ///< of an open turn the most that it generates, of an ended one what it generated
        bool ended = false;
        timestamp since{};
    };

    struct turn_series {
        std::uint64_t folded_turns = 0;      ///< the turns up to this number have ended and are not kept singly
        std::uint64_t folded_tokens = 0;     ///< tokens of these turns
        std::map<std::uint64_t, turn> turns; ///< the later turns, by number

        /// Removes the ended turns that follow the folded ones, and adds their tokens to these.
        void fold();
    };

    std::uint64_t budget = 0;
    std::map<std::uint64_t, turn_series> series; ///< by the id that the starting gateway has chosen
    std::uint64_t own_series = 0;        ///< id for the turns that are granted from this record; not copied with it
    std::uint64_t presumed = 0;          ///< tokens that count as used because turns that are not known here may exist
    std::uint64_t high_water_mark = 0;   ///< total usage that the stored high-water mark allows
    std::uint64_t unpersisted_limit = 0; ///< total usage that is allowed without a stored high-water mark
    std::uint64_t high_water_mark_revision = 0; ///< revision of the high-water mark, as last seen by this process
    std::map<std::string, session_location, std::less<>> sessions; ///< location of each session
    timestamp last_use{};

    /// Returns the usage of the turns that have ended, with the presumed one.
    std::uint64_t used() const;

    /// Returns the usage if every open turn generates all the tokens reserved for it.
    std::uint64_t committed() const;

    /// Returns the number of the known turns, with those that have ended.
    std::uint64_t turn_count() const;

    std::size_t open_turn_count() const;

    /// Returns the series in which a turn of this request is open, or 0.
    std::uint64_t open_series(std::string_view request) const;

    /// Ends the turn of a request in one series, at most with the tokens reserved for it. Two gateways may have granted
    /// the same request, each in its series. Returns false if no such turn is open.
    bool end_turn(std::string_view request, std::uint64_t series_id, std::uint64_t tokens);

    /// Ends the open turns that have started before `start`, with all the tokens reserved for them.
    void end_turns_before(timestamp start);
};

/// Adds what `other` knows to `record`: its turns, the ends of turns, and its limits. The turns are the same whatever
/// the order in which records are joined, and joining one again changes nothing. Turns that have no start time get
/// `now`.
void join(budget_record& record, const budget_record& other, timestamp now);

} // namespace lagoonferry
