#pragma once

#include "document/service_document.h"
#include "report/event_cause.h"
#include "util/service_class.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/registry.h>

#include <chrono>
#include <cstddef>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace lagoonferry {

/// Counts good and bad events by service, class, target and cause for the burn report. Thread-safe.
class service_metrics {
public:
    /// Adds the metrics to `registry`, which must outlive this object. `start` is the start time of the process, in
    /// seconds since 1970.
    service_metrics(prometheus::Registry& registry, std::chrono::seconds start);

    /// Counts the first token of a turn as good, or as late if `latency` exceeds the limit of its class.
    void count_first_token(std::string_view service, service_class priority, std::string_view target,
                           std::chrono::milliseconds latency, const class_settings& limits);

    /// Counts the end of a program as good, or as late if `latency` exceeds the limit of its class. `target` is the one
    /// that ran its last turn.
    void count_program(std::string_view service, service_class priority, std::string_view target,
                       std::chrono::milliseconds latency, const class_settings& limits);

    /// Counts a request that was refused without being executed. `target` is empty if none was chosen.
    void count_refused(std::string_view service, service_class priority, std::string_view target);

    /// Counts a call whose outcome is unknown.
    void count_unknown_outcome(std::string_view service, service_class priority, std::string_view target);

private:
    void count(std::string_view service, service_class priority, std::string_view target, event_cause cause);
    bool has_own_series(const std::string& service, const std::string& target);

    prometheus::Family<prometheus::Counter>& m_events;
    std::mutex m_mutex;
    std::set<std::pair<std::string, std::string>> m_targets;
};

} // namespace lagoonferry
