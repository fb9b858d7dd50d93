#include "report/burn_report.h"

#include "report/outliers.h"

#include <algorithm>
#include <functional>

namespace lagoonferry {

namespace {

using std::chrono::seconds;

constexpr std::int64_t ms_per_s = 1'000;
constexpr double seconds_per_day = 86'400;
constexpr std::size_t hour_window = 1;
constexpr std::size_t max_rate_points = 200;
constexpr double min_bad_events = 5;

/// A burn shows in a long window and still in a short one when both use this part of the budget per long window.
struct burn_rule {
    std::size_t short_window;
    std::size_t long_window;
    double budget_part;
};

constexpr burn_rule fast_rule{0, 1, 0.02};
constexpr burn_rule slow_rule{2, 3, 0.1};

double allowed_ratio(const objective& slo)
{
    return 1 - slo.good_percent / 100;
}

double rate_of(double bad, double total, const objective& slo)
{
    return total > 0 ? bad / total / allowed_ratio(slo) : 0;
}

using counts = std::vector<event_count>;

void add_to(window_burn& burn, const event_count& item)
{
    burn.total += item.events;
    burn.bad += item.series.cause == event_cause::good ? 0 : item.events;
}

bool burns(const class_burn& burn, const burn_rule& rule)
{
    const double period = burn.slo.window_days * seconds_per_day;
    const double limit = rule.budget_part * period / static_cast<double>(burn_windows.at(rule.long_window).count());
    const auto exceeds = [&](std::size_t window) {
        const window_burn& item = burn.windows.at(window);
        return item.rate >= limit && item.bad >= min_bad_events;
    };
    return exceeds(rule.short_window) && exceeds(rule.long_window);
}

/// Sums events by a name and orders the sums by bad events.
std::vector<burn_contributor> shares_of(const counts& events,
                                        const std::function<std::string(const event_series&)>& name_of)
{
    std::map<std::string, burn_contributor> by_name;
    double all_bad = 0;
    for (const event_count& item : events) {
        burn_contributor& share = by_name[name_of(item.series)];
        const double bad = item.series.cause == event_cause::good ? 0 : item.events;
        share.total += item.events;
        share.bad += bad;
        all_bad += bad;
    }
    std::vector<burn_contributor> shares;
    for (auto& [name, share] : by_name) {
        share.name = name;
        share.percent_of_bad = all_bad > 0 ? 100 * share.bad / all_bad : 0;
        shares.push_back(share);
    }
    std::ranges::stable_sort(shares, std::greater{}, &burn_contributor::bad);
    return shares;
}

class report_maker {
public:
    report_maker(const metric_history& history, const service_objectives& objectives)
        : m_history(history), m_objectives(objectives), m_times(history.times())
    {
    }

    burn_report make()
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
    class_burn& burn_of(const event_series& series)
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

    std::int64_t start_of(seconds length) const
    {
        return std::max(m_report.from_ms, m_report.to_ms - length.count() * ms_per_s);
    }

    void add_window(std::size_t index)
    {
        m_counts.at(index) = m_history.increases(start_of(burn_windows.at(index)), m_report.to_ms);
        for (const event_count& item : m_counts.at(index)) {
            add_to(burn_of(item.series).windows.at(index), item);
        }
    }

    void add_rates()
    {
        const std::size_t first = m_times.size() > max_rate_points ? m_times.size() - max_rate_points : 1;
        for (std::size_t n = first; n < m_times.size(); ++n) {
            std::map<class_burn*, window_burn> sums;
            for (const event_count& item : m_history.increases(m_times[n - 1], m_times[n])) {
                add_to(sums[&burn_of(item.series)], item);
            }
            for (const auto& [burn, sum] : sums) {
                burn->rates.push_back({m_times[n], rate_of(sum.bad, sum.total, burn->slo)});
            }
        }
    }

    void finish(class_burn& burn) const
    {
        for (std::size_t n = 0; n < burn_windows.size(); ++n) {
            window_burn& window = burn.windows.at(n);
            window.length = burn_windows.at(n);
            window.covered = seconds((m_report.to_ms - start_of(window.length)) / ms_per_s);
            window.rate = rate_of(window.bad, window.total, burn.slo);
        }
        burn.fast_burn = burns(burn, fast_rule);
        burn.slow_burn = burns(burn, slow_rule);
        const window_burn& longest = burn.windows.back();
        const double period = burn.slo.window_days * seconds_per_day;
        burn.budget_used_percent = 100 * longest.rate * static_cast<double>(longest.covered.count()) / period;
        add_shares(burn);
    }

    void add_shares(class_burn& burn) const
    {
        const std::size_t detail = burn.windows.at(hour_window).bad > 0 ? hour_window : burn_windows.size() - 1;
        burn.detail_window = burn_windows.at(detail);
        counts events;
        std::ranges::copy_if(m_counts.at(detail), std::back_inserter(events), [&](const event_count& item) {
            return item.series.service == burn.service && item.series.priority == burn.priority;
        });
        burn.causes =
            shares_of(events, [](const event_series& series) { return std::string(to_string(series.cause)); });
        std::erase_if(burn.causes, [](const burn_contributor& share) { return share.bad == 0; });
        burn.targets = shares_of(events, [](const event_series& series) { return series.target; });
        burn.instances = shares_of(events, [](const event_series& series) { return series.instance; });
        mark_outliers(burn.targets, allowed_ratio(burn.slo));
        mark_outliers(burn.instances, allowed_ratio(burn.slo));
    }

    const metric_history& m_history;
    const service_objectives& m_objectives;
    std::vector<std::int64_t> m_times;
    std::array<counts, burn_windows.size()> m_counts;
    std::map<std::pair<std::string, service_class>, class_burn> m_classes;
    burn_report m_report;
};

} // namespace

burn_report make_burn_report(const metric_history& history, const service_objectives& objectives)
{
    return report_maker(history, objectives).make();
}

} // namespace lagoonferry
