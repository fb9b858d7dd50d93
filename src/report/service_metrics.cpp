#include "report/service_metrics.h"

#include "report/metric_names.h"

#include <prometheus/gauge.h>

namespace lagoonferry {

namespace {

/// Maximum number of targets, over all services, with their own counters. Each can have one series for each class and
/// cause: 500 targets in 2 classes with 3 causes are 3,000 series, about 1 MB of memory.
constexpr std::size_t max_target_series = 500;

event_cause cause_for_latency(std::chrono::milliseconds latency, std::uint32_t limit_ms, event_cause late)
{
    return latency.count() <= limit_ms ? event_cause::good : late;
}

} // namespace

service_metrics::service_metrics(prometheus::Registry& registry, std::chrono::seconds start)
    : m_events(prometheus::BuildCounter()
                   .Name(metric_names::service_events)
                   .Help("Events of a service by class, target and cause; the cause of good events is \"good\".")
                   .Register(registry))
{
    prometheus::BuildGauge()
        .Name(metric_names::start_time)
        .Help("Start of the process in seconds since 1970.")
        .Register(registry)
        .Add({})
        .Set(static_cast<double>(start.count()));
}

void service_metrics::count_first_token(std::string_view service, service_class priority, std::string_view target,
                                        std::chrono::milliseconds latency, const class_settings& limits)
{
    count(service, priority, target, cause_for_latency(latency, limits.first_token_ms, event_cause::late_first_token));
}

void service_metrics::count_program(std::string_view service, service_class priority, std::string_view target,
                                    std::chrono::milliseconds latency, const class_settings& limits)
{
    count(service, priority, target, cause_for_latency(latency, limits.program_ms, event_cause::late_program));
}

void service_metrics::count_refused(std::string_view service, service_class priority, std::string_view target)
{
    count(service, priority, target, event_cause::refused);
}

void service_metrics::count_unknown_outcome(std::string_view service, service_class priority, std::string_view target)
{
    count(service, priority, target, event_cause::unknown_outcome);
}

void service_metrics::count(std::string_view service, service_class priority, std::string_view target,
                            event_cause cause)
{
    const std::string service_name(service);
    std::string target_name(target.empty() ? metric_names::no_target : target);
    if (!has_own_series(service_name, target_name)) {
        target_name = metric_names::other_target;
    }
    m_events
        .Add({{metric_names::service_label, service_name},
              {metric_names::class_label, std::string(to_string(priority))},
              {metric_names::target_label, target_name},
              {metric_names::cause_label, std::string(to_string(cause))}})
        .Increment();
}

bool service_metrics::has_own_series(const std::string& service, const std::string& target)
{
    const std::lock_guard lock(m_mutex);
    const auto key = std::pair(service, target);
    if (m_targets.contains(key)) {
        return true;
    }
    return m_targets.size() < max_target_series && m_targets.insert(key).second;
}

} // namespace lagoonferry
