#pragma once

#include "util/failure.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// One sample of the Prometheus text format.
struct metric_line {
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0;

    bool operator==(const metric_line&) const = default;
};

/// Parses the Prometheus text format. Comments and timestamps are ignored. Returns nothing when a line is not valid;
/// `reason` then names the line. Thread-safe.
std::optional<std::vector<metric_line>> parse_prometheus_text(std::string_view text, failure& reason);

} // namespace lagoonferry
