#pragma once

#include "report/event_cause.h"
#include "util/failure.h"
#include "util/service_class.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// The metrics of one instance at one time (milliseconds since 1970), in the text format of its /metrics.
struct metric_scrape {
    std::string instance;
    std::int64_t time_ms = 0;
    std::string text;
};

/// The labels of an event counter and the instance that it was read from.
struct event_series {
    std::string service;
    service_class priority = service_class::safety;
    std::string target;
    event_cause cause = event_cause::good;
    std::string instance;

    auto operator<=>(const event_series&) const = default;
};

/// The number of events of a series between two times.
struct event_count {
    event_series series;
    double events = 0;
};

/// The event counters of several instances at several times. Not thread-safe.
class metric_history {
public:
    /// Adds one scrape. Returns false when its text cannot be parsed; last_failure() has the reason.
    bool add(const metric_scrape& scrape);

    /// Returns the increases of the counters between two times, milliseconds since 1970. The initial value is that of
    /// the last scrape up to `from_ms`. Without such a scrape it is 0 if the instance started after `from_ms`, and the
    /// value of its first scrape otherwise. A restart in between is detected by a changed start time or a decreased
    /// counter.
    std::vector<event_count> increases(std::int64_t from_ms, std::int64_t to_ms) const;

    /// Returns the distinct times of all scrapes in ascending order.
    std::vector<std::int64_t> times() const;

    /// Returns the names of all services in the scrapes, sorted.
    std::vector<std::string> services() const;

    /// Returns why the last add() failed.
    const failure& last_failure() const { return m_failure; }

private:
    using counters = std::map<event_series, double>;

    struct snapshot {
        double start_time_s = 0;
        counters values;
    };

    static void add_increase(const snapshot* before, const snapshot& after, counters& sums);

    std::map<std::string, std::map<std::int64_t, snapshot>> m_snapshots; ///< by instance and time
    failure m_failure;
};

/// Returns a scrape as one line of a sample file, a JSON object. Thread-safe.
std::string to_sample_line(const metric_scrape& scrape);

/// Parses a sample file with one scrape in each line. Returns nothing if a line is not valid; `reason` names the line.
/// Thread-safe.
std::optional<std::vector<metric_scrape>> parse_samples(std::string_view text, failure& reason);

} // namespace lagoonferry
