#include "ledger/budget_ledger.h"

#include "util/ensure.h"

#include <algorithm>
#include <random>
#include <ranges>

namespace lagoonferry {

namespace {

/// Sessions of one program whose locations are kept. More are rarely active at once, and a copy of the record must fit
/// into a datagram.
constexpr std::size_t max_sessions = 8;

std::uint64_t share_of(std::uint64_t budget, double share)
{
    return static_cast<std::uint64_t>(static_cast<double>(budget) * share);
}

std::uint64_t random_series_id()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>(1)(device);
}

} // namespace

budget_ledger::budget_ledger(budget_rules rules) : m_rules(rules), m_next_series(random_series_id()) {}

std::uint64_t budget_ledger::unpersisted_allowance(std::uint64_t budget) const
{
    return share_of(budget, m_rules.unpersisted_share);
}

// Returns the record of a program, and whether it was created.
std::pair<budget_record&, bool> budget_ledger::find_or_create(std::string_view program)
{
    const auto [it, added] = m_records.try_emplace(std::string(program));
    if (added) {
        it->second.own_series = m_next_series++;
    }
    return {it->second, added};
}

ledger_decision budget_ledger::reserve(const budget_request& request, timestamp now)
{
    const auto it = m_records.find(request.program);
    if (it == m_records.end()) {
        return ledger_decision::needs_record;
    }
    budget_record& record = it->second;
    record.last_use = now;
    if (record.open_series(request.request) != 0) {
        return ledger_decision::granted;
    }
    const std::uint64_t total = record.committed() + request.tokens;
    if (total > record.budget) {
        return ledger_decision::exhausted;
    }
    if (total > std::max(record.unpersisted_limit, record.high_water_mark)) {
        return ledger_decision::needs_high_water_mark;
    }
    budget_record::turn_series& own = record.series[record.own_series];
    const std::uint64_t last = own.turns.empty() ? own.folded_turns : own.turns.rbegin()->first;
    own.turns[last + 1] = {request.request, request.tokens, false, now};
    return ledger_decision::granted;
}

void budget_ledger::start_record(const budget_request& request, bool known_unspent, timestamp now)
{
    const auto [record, added] = find_or_create(request.program);
    if (!added) {
        return;
    }
    record.budget = request.budget;
    record.last_use = now;
    if (known_unspent) {
        // One turn more than a new owner counts as used after a loss, because a budget may be exceeded by one turn.
        record.unpersisted_limit = std::min(request.budget, unpersisted_allowance(request.budget) + request.tokens);
    }
    else {
        record.presumed = unpersisted_allowance(request.budget);
    }
}

void budget_ledger::join(std::string_view program, const budget_record& other, timestamp now)
{
    const auto [record, added] = find_or_create(program);
    if (added) {
        record.unpersisted_limit = other.unpersisted_limit;
    }
    lagoonferry::join(record, other, now);
}

void budget_ledger::presume_unknown_turns(std::string_view program)
{
    const auto it = m_records.find(program);
    if (it == m_records.end()) {
        return;
    }
    budget_record& record = it->second;
    // The limit of this record may have been restricted here only.
    const std::uint64_t allowed =
        std::max({record.unpersisted_limit, record.high_water_mark, unpersisted_allowance(record.budget)});
    const std::uint64_t committed = record.committed();
    record.presumed += allowed > committed ? allowed - committed : 0;
    record.unpersisted_limit = 0;
}

void budget_ledger::restrict_unpersisted(const budget_request& request)
{
    const auto it = m_records.find(request.program);
    if (it == m_records.end() || !m_restricted.insert(it->first).second) {
        return;
    }
    budget_record& record = it->second;
    record.unpersisted_limit = std::min(record.unpersisted_limit, record.committed() + request.tokens);
}

high_water_mark_write budget_ledger::required_write(const budget_request& request) const
{
    const auto it = m_records.find(request.program);
    ensure(it != m_records.end(), "a high-water mark is requested for a program without a record");
    const budget_record& record = it->second;
    const std::uint64_t total = record.committed() + request.tokens;
    const std::uint64_t coarse_step_end = share_of(record.budget, m_rules.coarse_step_share);
    const std::uint64_t coarse_step = std::min(total + unpersisted_allowance(record.budget), coarse_step_end);
    return {std::max(total, coarse_step), record.high_water_mark_revision, record.own_series};
}

void budget_ledger::set_high_water_mark(std::string_view program, std::uint64_t high_water_mark, std::uint64_t revision,
                                        bool written_here)
{
    const auto it = m_records.find(program);
    if (it == m_records.end()) {
        return;
    }
    budget_record& record = it->second;
    // A higher mark that was written neither here nor by the sender of this copy may already be used up by its writer.
    if (high_water_mark > record.high_water_mark && !written_here) {
        const std::uint64_t committed = record.committed();
        record.presumed += high_water_mark > committed ? high_water_mark - committed : 0;
        record.unpersisted_limit = 0;
    }
    record.high_water_mark = std::max(record.high_water_mark, high_water_mark);
    record.high_water_mark_revision = revision;
}

bool budget_ledger::settle(const budget_settlement& message, timestamp now)
{
    const auto it = m_records.find(message.program);
    if (it == m_records.end()) {
        return false;
    }
    budget_record& record = it->second;
    record.last_use = now;
    const bool ended = record.end_turn(message.request, message.series, message.tokens);
    if (!message.session.empty() && !message.location.target.empty()) {
        if (record.sessions.size() >= max_sessions && !record.sessions.contains(message.session)) {
            const auto other =
                std::ranges::find_if(record.sessions, [&](const auto& pair) { return pair.first != message.program; });
            record.sessions.erase(other);
        }
        record.sessions[message.session] = message.location;
    }
    return ended;
}

const budget_record* budget_ledger::find(std::string_view program) const
{
    const auto it = m_records.find(program);
    return it == m_records.end() ? nullptr : &it->second;
}

bool budget_ledger::is_first_turn(std::string_view program) const
{
    const budget_record* record = find(program);
    return record != nullptr && record->used() == 0 && record->open_turn_count() == 1;
}

session_location budget_ledger::location_of(std::string_view program, std::string_view session) const
{
    const budget_record* record = find(program);
    if (record == nullptr) {
        return {};
    }
    auto it = record->sessions.find(session);
    if (it == record->sessions.end()) {
        it = record->sessions.find(program);
    }
    return it == record->sessions.end() ? session_location{} : it->second;
}

void budget_ledger::expire(timestamp now)
{
    for (budget_record& record : m_records | std::views::values) {
        record.end_turns_before(now - m_rules.reservation_timeout);
    }
    const auto deleted = [this](const std::string& id) { return !m_records.contains(id); };
    std::erase_if(m_restricted, deleted);
    std::erase_if(m_records, [&](const auto& pair) {
        return pair.second.open_turn_count() == 0 && now - pair.second.last_use > m_rules.record_retention;
    });
}

std::vector<std::string> budget_ledger::programs() const
{
    const auto ids = m_records | std::views::keys;
    return {ids.begin(), ids.end()};
}

void budget_ledger::erase(std::string_view program)
{
    const auto it = m_records.find(program);
    if (it != m_records.end()) {
        m_restricted.erase(it->first);
        m_records.erase(it);
    }
}

} // namespace lagoonferry
