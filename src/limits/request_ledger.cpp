#include "limits/request_ledger.h"

#include "util/ensure.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace lagoonferry {

namespace {

using std::chrono::seconds;

/// A process starts another series after a pause of this length, so that copies need not carry series that rest.
constexpr timestamp series_rest = seconds(10);
constexpr timestamp series_retention = seconds(30);

/// Share of the bucket above which several requests are granted at once.
constexpr double batch_level = 0.5;

/// Share of the bucket that is kept for the programs that run. One that starts leaves it untouched.
constexpr double running_reserve = 0.05;

/// Requests granted ahead of time never exceed what accrues in this time.
constexpr double max_debt_s = 2;

std::uint64_t random_series_id()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>(1)(device);
}

timestamp time_to_accrue(double requests, double rate_per_s)
{
    constexpr double max_s = 3'600;
    const double s = rate_per_s > 0 ? std::min(requests / rate_per_s, max_s) : max_s;
    return std::chrono::duration_cast<timestamp>(std::chrono::duration<double>(std::max(s, 0.0)));
}

} // namespace

request_ledger::request_ledger() : m_next_series(random_series_id()) {}

double request_ledger::capacity(const limit_share& of)
{
    return std::max(1.0, of.limit.burst * of.share);
}

limit_decision request_ledger::decide(std::string_view account, const limit_share& of, const limit_demand& demand,
                                      timestamp now)
{
    const auto it = m_entries.find(account);
    ensure(it != m_entries.end(), "requests are granted for an account without a record");
    request_record& record = it->second.record;
    const double rate = of.limit.rate_per_s * of.share;
    const double size = capacity(of);
    record.refill(rate, size, now);
    const double floor = demand.starts_program ? std::floor(size * running_reserve) : 0.0;
    const double batch = demand.wanted;
    limit_decision decision;
    decision.granted = batch > 1 && record.level - batch >= size * batch_level ? demand.wanted : 1;
    decision.delay = time_to_accrue(floor + 1 - record.level, rate);
    if (decision.delay > demand.max_wait) {
        decision.granted = 0;
        return decision;
    }
    record.level -= decision.granted;
    request_record::series& own = own_series(it->second, now);
    own.granted += decision.granted;
    return decision;
}

request_record::series& request_ledger::own_series(entry& item, timestamp now)
{
    if (item.own_series == 0 || now - item.record.grants[item.own_series].grown_at > series_rest) {
        item.own_series = m_next_series++;
    }
    request_record::series& own = item.record.grants[item.own_series];
    own.grown_at = now;
    return own;
}

void request_ledger::start(std::string_view account, double level, timestamp now)
{
    const auto [it, added] = m_entries.try_emplace(std::string(account));
    if (added) {
        it->second.record.level = level;
        it->second.record.as_of = now;
    }
}

void request_ledger::join(std::string_view account, const limit_share& of, request_record other, timestamp now)
{
    other.as_of = now;
    const auto [it, added] = m_entries.try_emplace(std::string(account));
    request_record& record = it->second.record;
    if (added) {
        std::ranges::for_each(other.grants, [now](auto& pair) { pair.second.grown_at = now; });
        record = std::move(other);
        return;
    }
    record.refill(of.limit.rate_per_s * of.share, capacity(of), now);
    lagoonferry::join(record, other, now);
    record.level = std::max(record.level, -max_debt_s * of.limit.rate_per_s);
}

void request_ledger::give_back(std::string_view account, std::uint32_t count, timestamp now)
{
    if (const auto it = m_entries.find(account); it != m_entries.end()) {
        own_series(it->second, now).returned += count;
        it->second.record.level += count;
    }
}

void request_ledger::charge(std::string_view account, std::uint32_t count, timestamp now)
{
    if (const auto it = m_entries.find(account); it != m_entries.end()) {
        own_series(it->second, now).granted += count;
        it->second.record.level -= count;
    }
}

void request_ledger::distrust(std::string_view account, const request_limit& limit, timestamp span, timestamp now)
{
    if (const auto it = m_entries.find(account); it != m_entries.end()) {
        request_record& record = it->second.record;
        record.refill(limit.rate_per_s, capacity({limit}), now);
        record.level = std::min(record.level, limit.rate_per_s * std::chrono::duration<double>(span).count());
    }
}

request_record request_ledger::copy_of(std::string_view account, const limit_share& of, timestamp now) const
{
    const auto it = m_entries.find(account);
    ensure(it != m_entries.end(), "a copy is made of a record that does not exist");
    request_record copy = it->second.record;
    copy.refill(of.limit.rate_per_s * of.share, capacity(of), now);
    std::erase_if(copy.grants, [now](const auto& pair) { return now - pair.second.grown_at > series_rest; });
    return copy;
}

const request_record* request_ledger::find(std::string_view account) const
{
    const auto it = m_entries.find(account);
    return it == m_entries.end() ? nullptr : &it->second.record;
}

void request_ledger::expire(const std::function<bool(std::string_view account)>& unused, timestamp now)
{
    std::erase_if(m_entries, [&](const auto& pair) { return unused(pair.first); });
    for (auto& [account, item] : m_entries) {
        std::erase_if(item.record.grants,
                      [now](const auto& pair) { return now - pair.second.grown_at > series_retention; });
        if (!item.record.grants.contains(item.own_series)) {
            item.own_series = 0;
        }
    }
}

} // namespace lagoonferry
