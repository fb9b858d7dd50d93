#pragma once

#include "accounts/client_account.h"
#include "limits/request_record.h"
#include "util/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lagoonferry {

/// Requests that a gateway wants to run for an account.
struct limit_demand {
    std::uint32_t wanted = 1;    ///< at most this many are granted, and more than one only far below the limit
    bool starts_program = false; ///< running programs are admitted before those that start
    timestamp max_wait{};        ///< a request may be granted this long ahead of time
};

/// The decision on a `limit_demand`.
struct limit_decision {
    std::uint32_t granted = 0;
    timestamp delay{}; ///< if granted: time until the request may run; otherwise time until one may be granted
};

/// The part of an account's limit that may be granted here: 1 for all of it.
struct limit_share {
    request_limit limit;
    double share = 1;
};

/// Grants requests of client accounts within their limits: a token bucket for each account, whose grants are counted in
/// a `request_record`. Performs no I/O. Not thread-safe.
class request_ledger {
public:
    request_ledger();

    /// Decides on requests of an account. Precondition: the account has a record, and its limit is not unlimited.
    limit_decision decide(std::string_view account, const limit_share& of, const limit_demand& demand, timestamp now);

    /// Starts a record with this level for an account that has none here.
    void start(std::string_view account, double level, timestamp now);

    /// Joins the record of another gateway, whose level is of `now`. A record that is unknown here is taken over.
    void join(std::string_view account, const limit_share& of, request_record other, timestamp now);

    /// Counts granted requests that no target has run. Does nothing for an account without a record.
    void give_back(std::string_view account, std::uint32_t count, timestamp now);

    /// Counts requests that ran without a grant, because a second target ran them. The level may fall below 0.
    void charge(std::string_view account, std::uint32_t count, timestamp now);

    /// Limits the level to what accrues in `span`, for a record that may lack what others have granted since.
    void distrust(std::string_view account, const request_limit& limit, timestamp span, timestamp now);

    /// Returns the record with its level of `now` and with the series that have grown lately, for other gateways.
    /// Precondition: the account has a record.
    request_record copy_of(std::string_view account, const limit_share& of, timestamp now) const;

    const request_record* find(std::string_view account) const;

    /// Removes series that have not grown for long, and the records for which `unused` returns true.
    void expire(const std::function<bool(std::string_view account)>& unused, timestamp now);

    /// Returns the capacity of the bucket of an account: its burst, and at least one request.
    static double capacity(const limit_share& of);

private:
    struct entry {
        request_record record;
        std::uint64_t own_series = 0; ///< 0: this process has granted nothing
    };

    request_record::series& own_series(entry& item, timestamp now);

    std::uint64_t m_next_series; ///< random at first, so that the series of all processes differ
    std::map<std::string, entry, std::less<>> m_entries;
};

} // namespace lagoonferry
