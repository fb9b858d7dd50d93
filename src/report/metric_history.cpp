#include "report/metric_history.h"

#include "report/metric_names.h"
#include "report/prometheus_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <set>

namespace lagoonferry {

namespace {

std::string label_value(const metric_line& line, const char* label)
{
    const auto it = line.labels.find(label);
    return it == line.labels.end() ? std::string() : it->second;
}

std::optional<event_series> parse_event_series(const metric_line& line, const std::string& instance)
{
    const auto priority = parse_service_class(label_value(line, metric_names::class_label));
    const auto cause = parse_event_cause(label_value(line, metric_names::cause_label));
    if (line.name != metric_names::service_events || !priority || !cause) {
        return std::nullopt;
    }
    return event_series{label_value(line, metric_names::service_label), *priority,
                        label_value(line, metric_names::target_label), *cause, instance};
}

} // namespace

bool metric_history::add(const metric_scrape& scrape)
{
    const auto lines = parse_prometheus_text(scrape.text, m_failure);
    if (!lines) {
        return false;
    }
    snapshot& added = m_snapshots[scrape.instance][scrape.time_ms];
    for (const metric_line& line : *lines) {
        if (line.name == metric_names::start_time) {
            added.start_time_s = line.value;
        }
        if (const auto series = parse_event_series(line, scrape.instance)) {
            added.values[*series] = line.value;
        }
    }
    return true;
}

std::vector<event_count> metric_history::increases(std::int64_t from_ms, std::int64_t to_ms) const
{
    constexpr double ms_per_s = 1000;
    counters sums;
    for (const auto& [instance, snapshots] : m_snapshots) {
        auto it = snapshots.upper_bound(from_ms);
        const snapshot* before = it == snapshots.begin() ? nullptr : &std::prev(it)->second;
        for (; it != snapshots.end() && it->first <= to_ms; ++it) {
            const bool started_later = it->second.start_time_s * ms_per_s > static_cast<double>(from_ms);
            if (before != nullptr || started_later) {
                add_increase(before, it->second, sums);
            }
            before = &it->second;
        }
    }
    std::vector<event_count> result;
    for (const auto& [series, events] : sums) {
        result.push_back({series, events});
    }
    return result;
}

std::vector<std::int64_t> metric_history::times() const
{
    std::set<std::int64_t> times;
    for (const auto& [instance, snapshots] : m_snapshots) {
        std::ranges::transform(snapshots, std::inserter(times, times.end()),
                               [](const auto& item) { return item.first; });
    }
    return {times.begin(), times.end()};
}

std::vector<std::string> metric_history::services() const
{
    std::set<std::string> services;
    for (const auto& [instance, snapshots] : m_snapshots) {
        for (const auto& [time, values] : snapshots) {
            std::ranges::transform(values.values, std::inserter(services, services.end()),
                                   [](const auto& item) { return item.first.service; });
        }
    }
    return {services.begin(), services.end()};
}

void metric_history::add_increase(const snapshot* before, const snapshot& after, counters& sums)
{
    const bool restarted = before == nullptr || before->start_time_s != after.start_time_s;
    for (const auto& [series, value] : after.values) {
        double previous = 0;
        if (!restarted) {
            const auto it = before->values.find(series);
            previous = it == before->values.end() ? 0 : it->second;
        }
        sums[series] += value >= previous ? value - previous : value;
    }
}

std::string to_sample_line(const metric_scrape& scrape)
{
    return nlohmann::json{{"instance", scrape.instance}, {"time_ms", scrape.time_ms}, {"metrics", scrape.text}}.dump() +
           "\n";
}

std::optional<std::vector<metric_scrape>> parse_samples(std::string_view text, failure& reason)
{
    std::vector<metric_scrape> scrapes;
    for (std::size_t number = 1; !text.empty(); ++number) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const auto item = nlohmann::json::parse(text.substr(0, end), nullptr, false);
        text.remove_prefix(std::min(end + 1, text.size()));
        const bool valid = item.is_object() && item.contains("instance") && item["instance"].is_string() &&
                           item.contains("time_ms") && item["time_ms"].is_number_integer() &&
                           item.contains("metrics") && item["metrics"].is_string();
        if (!valid) {
            reason = {result_code::malformed,
                      "line " + std::to_string(number) + " of the sample file is not a valid sample"};
            return std::nullopt;
        }
        scrapes.push_back({item["instance"], item["time_ms"], item["metrics"]});
    }
    return scrapes;
}

} // namespace lagoonferry
