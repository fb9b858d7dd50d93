#include "report/burn_report.h"

#include "report/outliers.h"

#include <algorithm>
#include <functional>

namespace lagoonferry {

namespace {

using std::chrono::seconds;

constexpr std::int64_t ms_per_s = 1'000;
constexpr double seconds_per_day = 86'400;
constexpr std::size_t hour_window_index = 1;
constexpr std::size_t max_rate_points = 200;
constexpr double min_bad_events = 5;

/// A multi-window burn rate rule. It applies while the burn rate of both windows is high enough to use `budget_share`
/// of the budget during the long window. The short window clears the alert soon after the burn stops.
struct burn_rule {
    std::size_t short_window;
    std::size_t long_window;
    double budget_share;
};

constexpr burn_rule fast_rule{0, 1, 0.02};
constexpr burn_rule slow_rule{2, 3, 0.1};

double allowed_ratio(const objective& slo)
{
    return 1 - slo.good_percent / 100;
}

double burn_rate(double bad, double total, const objective& slo)
{
    return total > 0 ? bad / total / allowed_ratio(slo) : 0;
}

using event_counts = std::vector<event_count>;

void add_to(window_burn& burn, const event_count& item)
{
    burn.total += item.events;
    burn.bad += item.series.cause == event_cause::good ? 0 : item.events;
}

bool exceeds_rule(const class_burn& burn, const burn_rule& rule)
{
    const double period = burn.slo.window_days * seconds_per_day;
    const double limit = rule.budget_share * period / static_cast<double>(burn_windows.at(rule.long_window).count());
    const auto exceeds = [&](std::size_t window) {
        const window_burn& item = burn.windows.at(window);
        return item.rate >= limit && item.bad >= min_bad_events;
    };
    return exceeds(rule.short_window) && exceeds(rule.long_window);
}

/// Groups events by a name. The contributors with the most bad events come first.
std::vector<burn_contributor> contributors_by(const event_counts& events,
                                              const std::function<std::string(const event_series&)>& name_of)
{
    std::map<std::string, burn_contributor> by_name;
    double all_bad = 0;
    for (const event_count& item : events) {
        burn_contributor& contributor = by_name[name_of(item.series)];
        const double bad = item.series.cause == event_cause::good ? 0 : item.events;
        contributor.total += item.events;
        contributor.bad += bad;
        all_bad += bad;
    }
    std::vector<burn_contributor> contributors;
    for (auto& [name, contributor] : by_name) {
        contributor.name = name;
        contributor.percent_of_bad = all_bad > 0 ? 100 * contributor.bad / all_bad : 0;
        contributors.push_back(contributor);
    }
    std::ranges::stable_sort(contributors, std::greater{}, &burn_contributor::bad);
    return contributors;
}

class report_builder {
public:
    report_builder(const metric_history& history, const service_objectives& objectives)
        : m_history(history), m_objectives(objectives), m_times(history.times())
    {
    }

    burn_report build()
    {
        if (m_times.size() < 2) {
            return {};
        }
        m_report.from_ms = m_times.front();
        m_report.to_ms = m_times.back();
        for (std::size_t n = 0; n < burn_windows.size(); ++n) {
            add_window(n);
        }
        add_rates();
        for (auto& [key, burn] : m_classes) {
            finish(burn);
            m_report.classes.push_back(std::move(burn));
        }
        return std::move(m_report);
    }

private:
    class_burn& class_burn_of(const event_series& series)
    {
        const auto [it, added] = m_classes.try_emplace({series.service, series.priority});
        class_burn& burn = it->second;
        if (added) {
            burn.service = series.service;
            burn.priority = series.priority;
            const auto known = m_objectives.find(series.service);
            burn.slo =
                known == m_objectives.end() ? objective{} : known->second.at(static_cast<std::size_t>(series.priority));
        }
        return burn;
    }

    std::int64_t window_start_ms(seconds length) const
    {
        return std::max(m_report.from_ms, m_report.to_ms - length.count() * ms_per_s);
    }

    void add_window(std::size_t index)
    {
        m_counts.at(index) = m_history.increases(window_start_ms(burn_windows.at(index)), m_report.to_ms);
        for (const event_count& item : m_counts.at(index)) {
            add_to(class_burn_of(item.series).windows.at(index), item);
        }
    }

    void add_rates()
    {
        const std::size_t first = m_times.size() > max_rate_points ? m_times.size() - max_rate_points : 1;
        for (std::size_t n = first; n < m_times.size(); ++n) {
            std::map<class_burn*, window_burn> sums;
            for (const event_count& item : m_history.increases(m_times[n - 1], m_times[n])) {
                add_to(sums[&class_burn_of(item.series)], item);
            }
            for (const auto& [burn, sum] : sums) {
                burn->rates.push_back({m_times[n], burn_rate(sum.bad, sum.total, burn->slo)});
            }
        }
    }

    void finish(class_burn& burn) const
    {
        for (std::size_t n = 0; n < burn_windows.size(); ++n) {
            window_burn& window = burn.windows.at(n);
            window.length = burn_windows.at(n);
            window.covered = seconds((m_report.to_ms - window_start_ms(window.length)) / ms_per_s);
            window.rate = burn_rate(window.bad, window.total, burn.slo);
        }
        burn.fast_burn = exceeds_rule(burn, fast_rule);
        burn.slow_burn = exceeds_rule(burn, slow_rule);
        const window_burn& longest = burn.windows.back();
        const double period = burn.slo.window_days * seconds_per_day;
        burn.budget_used_percent = 100 * longest.rate * static_cast<double>(longest.covered.count()) / period;
        add_contributors(burn);
    }

    void add_contributors(class_burn& burn) const
    {
        const std::size_t detail =
            burn.windows.at(hour_window_index).bad > 0 ? hour_window_index : burn_windows.size() - 1;
        burn.detail_window = burn_windows.at(detail);
        event_counts events;
        std::ranges::copy_if(m_counts.at(detail), std::back_inserter(events), [&](const event_count& item) {
            return item.series.service == burn.service && item.series.priority == burn.priority;
        });
        burn.causes =
            contributors_by(events, [](const event_series& series) { return std::string(to_string(series.cause)); });
        std::erase_if(burn.causes, [](const burn_contributor& contributor) { return contributor.bad == 0; });
        burn.targets = contributors_by(events, [](const event_series& series) { return series.target; });
        burn.instances = contributors_by(events, [](const event_series& series) { return series.instance; });
        mark_outliers(burn.targets, allowed_ratio(burn.slo));
        mark_outliers(burn.instances, allowed_ratio(burn.slo));
    }

    const metric_history& m_history;
    const service_objectives& m_objectives;
    std::vector<std::int64_t> m_times;
    std::array<event_counts, burn_windows.size()> m_counts;
    std::map<std::pair<std::string, service_class>, class_burn> m_classes;
    burn_report m_report;
};

} // namespace

burn_report make_burn_report(const metric_history& history, const service_objectives& objectives)
{
    return report_builder(history, objectives).build();
}

} // namespace lagoonferry
