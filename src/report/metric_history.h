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

/// The metrics of one instance at one time, milliseconds since 1970, as read from its /metrics.
struct metric_scrape {
    std::string instance;
    std::int64_t time_ms = 0;
    std::string text;
};

/// What an event counter counts.
struct event_series {
    std::string service;
    service_class priority = service_class::safety;
    std::string target;
    event_cause cause = event_cause::good;
    std::string instance;

    auto operator<=>(const event_series&) const = default;
};

/// The number of events of a series during a time.
struct event_count {
    event_series series;
    double events = 0;
};

/// Event counters of several instances at several times. One owner; not thread-safe.
class metric_history {
public:
    /// Adds one scrape. Returns false when its text cannot be read; last_failure() tells why.
    bool add(const metric_scrape& scrape);

    /// Returns the increases between two times, milliseconds since 1970. The value at `from` is that of the last scrape
    /// up to then. An instance that started later counts from 0; one that was not read before counts from its first
    /// scrape. A restart in between is recognised by the start time and by counters that fall.
    std::vector<event_count> increases(std::int64_t from_ms, std::int64_t to_ms) const;

    /// Returns the times of all scrapes in order, each once.
    std::vector<std::int64_t> times() const;

    /// Returns the services that occur, in order.
    std::vector<std::string> services() const;

    const failure& last_failure() const { return m_failure; }

private:
    using counters = std::map<event_series, double>;

    struct point {
        double start_time_s = 0;
        counters values;
    };

    static void add_increase(const point* before, const point& after, counters& sums);

    std::map<std::string, std::map<std::int64_t, point>> m_points; ///< by instance and time
    failure m_failure;
};

/// Returns a scrape as one line of a sample file. Thread-safe.
std::string to_sample_line(const metric_scrape& scrape);

/// Reads a sample file with one scrape in each line. Returns nothing for a damaged one; `reason` names the line.
/// Thread-safe.
std::optional<std::vector<metric_scrape>> parse_samples(std::string_view text, failure& reason);

} // namespace lagoonferry
