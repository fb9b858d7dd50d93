#pragma once

namespace lagoonferry::metric_names {

/// Counter of the events of a service, with the labels below.
inline constexpr const char* service_events = "lagoonferry_service_events_total";

/// Gauge: start of the process in seconds since 1970. It shows a restart after which a counter has already grown beyond
/// its earlier value.
inline constexpr const char* start_time = "lagoonferry_start_time_seconds";

inline constexpr const char* service_label = "service";
inline constexpr const char* class_label = "class";
inline constexpr const char* target_label = "target";
inline constexpr const char* cause_label = "cause";

/// Label value of events without a target, such as refusals.
inline constexpr const char* no_target = "none";

/// Label value of targets beyond the limit of series per process.
inline constexpr const char* other_target = "other";

} // namespace lagoonferry::metric_names
