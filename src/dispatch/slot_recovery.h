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

/// What a dispatcher without memory may grant until it knows which slots are held, and which epoch it has. Not
/// thread-safe.
///
/// With a list of holders it grants nothing until each of them has accepted its epoch and reported its slots; from then
/// on no holder takes a grant of a former dispatcher. Holders that do not answer within `settings.recovery_timeout` are
/// taken for lost or cut off: each stands for an equal share of the limits until `settings.holder_timeout` has passed.
/// Without a list it grants half of each limit for `settings.recovery_timeout`.
class slot_recovery {
public:
    slot_recovery(const dispatch_settings& settings, std::uint64_t epoch, timestamp now);

    std::uint64_t epoch() const { return m_epoch; }

    /// Whether a later dispatcher has replaced this one.
    bool replaced() const { return m_replaced; }

    /// Highest epoch that a holder has named.
    std::uint64_t highest_epoch() const { return m_highest; }

    /// Notes that holders follow a dispatcher with a higher epoch. Returns whether that is new.
    bool note_epoch(std::uint64_t epoch);

    /// Starts over with an epoch above `epoch`. Epochs of two dispatchers never coincide.
    void take_over(std::uint64_t epoch, timestamp now);

    /// Sets the holders that may hold slots of the group.
    void set_holders(std::vector<std::string> holders);

    /// Notes a report. Returns the listed slots once all parts of it are there. Reports that follow from a lower epoch
    /// are not counted.
    std::optional<std::vector<std::uint64_t>> note(const slot_report& m);

    /// Share of each limit that may be granted.
    double share(timestamp now) const;

    /// Holders to ask now, at most every 100 ms each.
    std::vector<std::string> holders_to_query(timestamp now);

    timestamp started() const { return m_started; }

private:
    struct pending_report {
        std::uint32_t report = 0;
        std::vector<bool> parts;
        std::vector<std::uint64_t> slots;
    };

    void count_known();

    timestamp m_wait;
    timestamp m_give_up;
    std::uint64_t m_epoch;
    std::uint64_t m_highest;
    std::uint64_t m_tag;
    timestamp m_started;
    timestamp m_next_ask{0};
    bool m_replaced = false;
    std::size_t m_known = 0; ///< holders of the list that have reported
    bool m_done = false;     ///< every holder has reported once
    std::optional<std::vector<std::string>> m_holders;
    std::set<std::string, std::less<>> m_reported; ///< holders
    std::map<std::string, pending_report, std::less<>> m_pending;
};

} // namespace lagoonferry
