#pragma once

namespace lagoonferry::metric_names {

/// Counter of events of a service, with the labels below.
inline constexpr const char* service_events = "lagoonferry_service_events_total";

/// Gauge: start of the process in seconds since 1970. It tells a restart from a counter that grew.
inline constexpr const char* start_time = "lagoonferry_start_time_seconds";

inline constexpr const char* service_label = "service";
inline constexpr const char* class_label = "class";
inline constexpr const char* target_label = "target";
inline constexpr const char* cause_label = "cause";

/// The target of events that reached none, such as refusals.
inline constexpr const char* no_target = "none";

/// The target of events beyond the limit of series of a process.
inline constexpr const char* other_target = "other";

} // namespace lagoonferry::metric_names
