#pragma once

#include "program/action.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/registry.h>

#include <string>

namespace lagoonferry {

/// Counts the answers of the HTTP interface. Thread-safe.
class entry_metrics {
public:
    entry_metrics();

    /// Counts one answer to a request of the given kind ("turn", "tool", "program").
    void count(const std::string& kind, const answer_request& answer);

    prometheus::Registry& registry() { return m_registry; }

    /// Returns the text form of all metrics.
    std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
};

} // namespace lagoonferry
