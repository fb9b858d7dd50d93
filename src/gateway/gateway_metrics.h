#pragma once

#include "store/store_types.h"
#include "util/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonferry {

/// Metrics of a gateway. Not thread-safe.
class gateway_metrics {
public:
    gateway_metrics();
    gateway_metrics(const gateway_metrics&) = delete;
    gateway_metrics& operator=(const gateway_metrics&) = delete;
    ~gateway_metrics();

    /// Counts a response to a caller by route and outcome, and records its latency in seconds.
    void on_response(std::string_view route, std::string_view outcome, double seconds);
    void on_attempt(std::string_view result);
    void on_resume();
    void on_budget_decision(std::string_view verdict);

    /// Counts a decision on the request limit of an account: "granted", "delayed" or "refused".
    void on_limit_decision(std::string_view verdict);
    void on_store_call(std::string_view call, store_status result);
    void on_dropped_log_lines(std::size_t count);
    void set_targets(std::size_t count);
    void set_connections(std::size_t callers, std::size_t kept);

    /// Counts a routing document that came into force, by its source: "watch", "read", "key" (all from the store) or
    /// "gateway". `delay` is the time since another gateway first announced the version, if one did.
    void on_document(std::string_view source, std::optional<timestamp> delay);

    /// Sets the version in force, and the time since the store last responded to this gateway on the document.
    void set_document(std::uint64_t version, timestamp response_age);

    /// Returns all metrics in the text exposition format of Prometheus.
    std::string text() const;

private:
    struct families;
    std::unique_ptr<families> m_families;
};

} // namespace lagoonferry
