#pragma once

#include "entry/call_options.h"
#include "program/action.h"
#include "report/service_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/registry.h>

#include <string>

namespace lagoonferry {

/// Metrics of the HTTP interface for callers. Thread-safe.
class entry_metrics {
public:
    entry_metrics();

    /// Counts one reply to a request of the given kind ("turn", "tool", "program").
    void count(const std::string& kind, const owner_reply& reply);

    /// Counts one reply to a turn or tool call, also as an event of its service and class. `target` may be empty.
    void count(const std::string& kind, const owner_reply& reply, const call_options& options,
               const std::string& target);

    /// Counts the first token of a turn against the objective of its class.
    void count_first_token(const call_options& options, const std::string& target, timestamp latency,
                           const class_settings& objectives);

    /// Counts the end of a program against the objective of its class. `target` served its last turn and may be empty.
    void count_program(const std::string& service, service_class priority, const std::string& target,
                       std::chrono::milliseconds latency, const class_settings& objectives);

    prometheus::Registry& registry() { return m_registry; }

    /// Returns the text form of all metrics.
    std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    service_metrics m_service;
};

} // namespace lagoonferry
