#include "scenario.h"

#include <algorithm>
#include <array>

namespace lagoonferry::bench {

namespace {

using std::chrono::seconds;

constexpr double peak_demand = 2;
constexpr timestamp ramp_start = seconds(120);
constexpr timestamp peak_start = seconds(180);
constexpr timestamp peak_end = seconds(540);
constexpr timestamp ramp_end = seconds(600);
constexpr timestamp day_end = seconds(720);
constexpr timestamp steady_end = seconds(600);
constexpr timestamp surge_end = seconds(300);
constexpr timestamp burst_interval = seconds(60);
constexpr timestamp burst_length = seconds(15);
constexpr timestamp orders_end = seconds(1800);
constexpr timestamp model_swap_time = seconds(480);
constexpr timestamp model_swap_interval = seconds(180);
constexpr timestamp slow_start = seconds(60);
constexpr timestamp slow_end = seconds(540);

/// Returns the demand of `surge`, where safety and interactive programs arrive in bursts.
double surge_demand(service_class c, timestamp now)
{
    if (c == service_class::bulk) {
        return 2;
    }
    const bool burst = c != service_class::normal && now % burst_interval < burst_length;
    return burst ? max_demand : 0.5;
}

double fraction(timestamp part, timestamp whole)
{
    return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

} // namespace

std::string_view to_string(scenario s)
{
    constexpr std::array<std::string_view, 6> names{"day", "steady", "slowed", "surge", "moved", "swinging"};
    return names.at(static_cast<std::size_t>(s));
}

double demand(scenario s, service_class c, timestamp now)
{
    if (now >= arrivals_end(s)) {
        return 0;
    }
    if (s == scenario::surge) {
        return surge_demand(c, now);
    }
    if (s != scenario::day || now < ramp_start || now >= ramp_end) {
        return 1;
    }
    const double up = fraction(now - ramp_start, peak_start - ramp_start);
    const double down = fraction(ramp_end - now, ramp_end - peak_end);
    return 1 + (peak_demand - 1) * std::min({1.0, up, down});
}

double heavy_demand(scenario s, service_class c, timestamp now)
{
    return s == scenario::surge && c == service_class::normal && now < arrivals_end(s) ? 1 : 0;
}

timestamp arrivals_end(scenario s)
{
    if (s == scenario::surge) {
        return surge_end;
    }
    if (s == scenario::moved || s == scenario::swinging) {
        return orders_end;
    }
    return s == scenario::day ? day_end : steady_end;
}

bool in_peak(scenario s, timestamp now)
{
    return s == scenario::day && now >= peak_start && now < peak_end;
}

bool models_swapped(scenario s, timestamp now)
{
    if (s == scenario::swinging) {
        return now / model_swap_interval % 2 == 1;
    }
    return s == scenario::moved && now >= model_swap_time;
}

bool is_slowed(scenario s, timestamp now)
{
    return s == scenario::slowed && now >= slow_start && now < slow_end;
}

} // namespace lagoonferry::bench
