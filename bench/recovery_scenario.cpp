#include "recovery_scenario.h"

namespace lagoonferry::bench {

namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

constexpr timestamp pause_length = seconds(12);
constexpr timestamp disconnect_length = seconds(20);
constexpr timestamp restart_span = seconds(60);
constexpr timestamp observation_time = seconds(30);

} // namespace

std::string_view to_string(recovery_fault value)
{
    constexpr std::array<std::string_view, all_recovery_faults.size()> names{"killed", "paused", "cut", "mass-restart",
                                                                             "domain-lost"};
    return names.at(static_cast<std::size_t>(value));
}

std::vector<recovery_size> recovery_sizes(bool large)
{
    std::vector<recovery_size> sizes{
        {"zurich", 8, 3, microseconds(1500), {{"allocation", 18}, {"application", 5}}},
        {"vallarsa", 7, 4, microseconds(900), {{"assistant", 9}, {"trade", 4}}},
    };
    if (large) {
        sizes.push_back({"40-instances", 40, 6, microseconds(1500), {{"a", 200}, {"b", 120}, {"c", 80}}});
        sizes.push_back({"340-instances",
                         340,
                         9,
                         microseconds(1500),
                         {{"a", 1200}, {"b", 800}, {"c", 600}, {"d", 300}, {"e", 200}}});
    }
    return sizes;
}

timestamp fault_end_time(recovery_fault fault)
{
    switch (fault) {
    case recovery_fault::dispatcher_paused:
        return fault_time + pause_length;
    case recovery_fault::dispatcher_disconnected:
        return fault_time + disconnect_length;
    case recovery_fault::mass_restart:
        return fault_time + restart_span;
    default:
        return fault_time;
    }
}

timestamp recovery_run_end(recovery_fault fault)
{
    return fault_end_time(fault) + observation_time;
}

} // namespace lagoonferry::bench
