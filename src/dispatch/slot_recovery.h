#pragma once

#include "dispatch/dispatch_settings.h"
#include "dispatch/slot_messages.h"
#include "util/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// Epoch of a dispatcher, and what a dispatcher that starts without state may grant until it knows the held slots. Not
/// thread-safe.
///
/// With a list of holders, nothing is granted until each of them has accepted the epoch and reported its slots; from
/// then on no holder accepts a grant of a former dispatcher. Holders that do not reply within
/// `settings.recovery_timeout` count as lost or partitioned: for each of them an equal share of the limits stays
/// reserved until `settings.holder_timeout` has passed. Without a list of holders, half of each limit is granted during
/// `settings.recovery_timeout`.
class slot_recovery {
public:
    slot_recovery(const dispatch_settings& settings, std::uint64_t epoch, timestamp now);

    std::uint64_t epoch() const { return m_epoch; }

    /// Returns whether a dispatcher with a higher epoch has replaced this one.
    bool replaced() const { return m_replaced; }

    /// Returns the highest epoch known from holders.
    std::uint64_t highest_epoch() const { return m_highest_epoch; }

    /// Records an epoch that a holder has accepted. Returns true if this shows for the first time that this dispatcher
    /// has been replaced.
    bool note_epoch(std::uint64_t epoch);

    /// Restarts the recovery with an epoch above `epoch`. The low bits of the epoch differ between dispatchers, so that
    /// no two of them use the same epoch.
    void take_over(std::uint64_t epoch, timestamp now);

    /// Sets the holders that may hold slots of the group.
    void set_holders(std::vector<std::string> holders);

    /// Records a part of a report. Returns the listed slots once all parts have arrived. Ignores reports with an
    /// epoch that is neither 0 nor the current one.
    std::optional<std::vector<std::uint64_t>> add_report_part(const slot_report& m);

    /// Returns the fraction of each limit that may be granted.
    double grantable_share(timestamp now) const;

    /// Returns the holders to query now; each one at most every 100 ms.
    std::vector<std::string> holders_to_query(timestamp now);

    timestamp started() const { return m_started; }

private:
    struct pending_report {
        std::uint32_t report = 0;
        std::vector<bool> parts;
        std::vector<std::uint64_t> slots;
    };

    void count_reported();

    timestamp m_recovery_timeout;
    timestamp m_holder_timeout;
    std::uint64_t m_epoch;
    std::uint64_t m_highest_epoch;
    std::uint64_t m_epoch_tag;
    timestamp m_started;
    timestamp m_next_query{0};
    bool m_replaced = false;
    std::size_t m_reported_count = 0; ///< number of listed holders that have reported
    bool m_all_reported = false;      ///< every holder has reported once
    std::optional<std::vector<std::string>> m_holders;
    std::set<std::string, std::less<>> m_reported; ///< holders that have reported
    std::map<std::string, pending_report, std::less<>> m_pending;
};

} // namespace lagoonferry
