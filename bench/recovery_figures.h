#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace lagoonferry::bench {

/// What one recovery run measured. Times are seconds; infinite when the event did not happen before the end of the run.
struct recovery_figures {
    double known_s = 0;          ///< from the fault until the dispatchers in service list all slots that are held
    double largest_share = 0;    ///< largest number of slots held at once on a target, divided by its limit
    double back_s = 0;           ///< from the fault (a restart wave: from its end) until the served rate is back
    double lowest_rate = 0;      ///< lowest served rate after the fault, as a share of the rate before
    double urgent_wait_s = 0;    ///< longest wait of a call of the most urgent class for a slot, after the fault
    double urgent_before_s = 0;  ///< the same before the fault
    double tokens_lost = 0;      ///< generated and thrown away
    double calls_failed = 0;     ///< calls that lost their target or their holder
    double refused = 0;          ///< refusals after the fault
    double without_retry = 0;    ///< refusals that give no time to come back
    double return_peak = 0;      ///< largest share of 50 or more refused callers of a second that return within 100 ms
    std::vector<double> rate;    ///< tokens per second in steps of `rate_step`
    std::vector<double> started; ///< calls started per second in the same steps
};

inline constexpr double rate_step_s = 0.25;

/// A figure with its name in tables and JSON.
struct recovery_column {
    std::string_view name;
    double recovery_figures::*value;
};

inline constexpr std::array recovery_columns{
    recovery_column{"known_s", &recovery_figures::known_s},
    recovery_column{"largest_share", &recovery_figures::largest_share},
    recovery_column{"back_s", &recovery_figures::back_s},
    recovery_column{"lowest_rate", &recovery_figures::lowest_rate},
    recovery_column{"urgent_wait_s", &recovery_figures::urgent_wait_s},
    recovery_column{"urgent_before_s", &recovery_figures::urgent_before_s},
    recovery_column{"tokens_lost", &recovery_figures::tokens_lost},
    recovery_column{"calls_failed", &recovery_figures::calls_failed},
    recovery_column{"refused", &recovery_figures::refused},
    recovery_column{"without_retry", &recovery_figures::without_retry},
    recovery_column{"return_peak", &recovery_figures::return_peak},
};

} // namespace lagoonferry::bench
