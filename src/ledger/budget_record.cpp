#include "ledger/budget_record.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace lagoonferry {

namespace {

using turn = budget_record::turn;
using turn_series = budget_record::turn_series;

std::uint64_t difference_or_zero(std::uint64_t a, std::uint64_t b)
{
    return a > b ? a - b : 0;
}

std::uint64_t known_tokens(const budget_record& record)
{
    std::uint64_t sum = 0;
    for (const turn_series& item : record.series | std::views::values) {
        sum += item.folded_tokens;
        for (const turn& each : item.turns | std::views::values) {
            sum += each.tokens;
        }
    }
    return sum;
}

void mark_ended(turn& item, std::uint64_t tokens)
{
    item.tokens = tokens;
    item.ended = true;
    item.request.clear(); // many ended turns must fit into a copy
}

void join_turn(turn& known, const turn& other)
{
    if (other.ended) {
        // The end of a turn may have been reported here, and have timed out there.
        mark_ended(known, known.ended ? std::max(known.tokens, other.tokens) : other.tokens);
    }
}

void join_series(turn_series& known, const turn_series& other, timestamp now)
{
    if (other.folded_turns > known.folded_turns) {
        known.folded_turns = other.folded_turns;
        known.folded_tokens = other.folded_tokens;
        known.turns.erase(known.turns.begin(), known.turns.upper_bound(known.folded_turns));
    }
    else if (other.folded_turns == known.folded_turns) {
        known.folded_tokens = std::max(known.folded_tokens, other.folded_tokens);
    }
    for (const auto& [number, item] : other.turns) {
        if (number <= known.folded_turns) {
            continue;
        }
        const auto [it, added] = known.turns.try_emplace(number, item);
        if (!added) {
            join_turn(it->second, item);
        }
        else if (it->second.since == timestamp{}) {
            it->second.since = now;
        }
    }
    known.fold();
}

} // namespace

void budget_record::turn_series::fold()
{
    for (auto it = turns.begin(); it != turns.end() && it->first == folded_turns + 1 && it->second.ended;
         it = turns.erase(it)) {
        ++folded_turns;
        folded_tokens += it->second.tokens;
    }
}

void budget_record::end_turns_before(timestamp start)
{
    for (turn_series& item : series | std::views::values) {
        for (turn& each : item.turns | std::views::values) {
            if (!each.ended && each.since < start) {
                mark_ended(each, each.tokens);
            }
        }
        item.fold();
    }
}

std::uint64_t budget_record::used() const
{
    std::uint64_t open = 0;
    for (const turn_series& item : series | std::views::values) {
        for (const turn& each : item.turns | std::views::values) {
            open += each.ended ? 0 : each.tokens;
        }
    }
    return committed() - open;
}

std::uint64_t budget_record::committed() const
{
    return known_tokens(*this) + presumed;
}

std::uint64_t budget_record::turn_count() const
{
    const auto counts = series | std::views::values |
                        std::views::transform([](const auto& item) { return item.folded_turns + item.turns.size(); });
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

std::size_t budget_record::open_turn_count() const
{
    std::size_t count = 0;
    for (const turn_series& item : series | std::views::values) {
        count += static_cast<std::size_t>(
            std::ranges::count(item.turns | std::views::values, false, &budget_record::turn::ended));
    }
    return count;
}

std::uint64_t budget_record::open_series(std::string_view request) const
{
    const auto it = std::ranges::find_if(series, [request](const auto& pair) {
        return std::ranges::any_of(pair.second.turns | std::views::values,
                                   [request](const turn& each) { return !each.ended && each.request == request; });
    });
    return it == series.end() ? 0 : it->first;
}

bool budget_record::end_turn(std::string_view request, std::uint64_t series_id, std::uint64_t tokens)
{
    const auto it = series.find(series_id);
    if (it == series.end()) {
        return false;
    }
    bool found = false;
    for (turn& each : it->second.turns | std::views::values) {
        if (!each.ended && each.request == request) {
            mark_ended(each, std::min(each.tokens, tokens));
            found = true;
        }
    }
    it->second.fold();
    return found;
}

void join(budget_record& record, const budget_record& other, timestamp now)
{
    const std::uint64_t known_before = known_tokens(record);
    const bool newer = other.turn_count() >= record.turn_count();
    record.budget = std::max(record.budget, other.budget);
    for (const auto& [id, item] : other.series) {
        join_series(record.series[id], item, now);
    }
    // Turns that become known here are among those that were presumed.
    const std::uint64_t known = known_tokens(record);
    record.presumed = std::max(difference_or_zero(record.presumed, difference_or_zero(known, known_before)),
                               difference_or_zero(other.presumed, difference_or_zero(known, known_tokens(other))));
    record.high_water_mark = std::max(record.high_water_mark, other.high_water_mark);
    record.unpersisted_limit = std::min(record.unpersisted_limit, other.unpersisted_limit);
    for (const auto& [session, location] : other.sessions) {
        if (newer) {
            record.sessions[session] = location;
        }
        else {
            record.sessions.try_emplace(session, location);
        }
    }
    record.last_use = now;
}

} // namespace lagoonferry
