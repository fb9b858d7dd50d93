#pragma once

#include "util/service_class.h"
#include "util/time.h"

#include <cstdint>

namespace lagoonferry {

/// Figures of the dispatch policy. A switched-off mechanism is left out of every decision.
struct dispatch_settings {
    bool adaptive_limit = true;
    bool detect_slow = true; ///< weighs a target by its recent speed instead of its usual one
    bool preempt_bulk = true;
    bool refuse_late = true;
    bool unlimited = false; ///< grants without a limit: the target queues

    /// Share of a target's limit that a class and the classes below it may fill.
    per_class<double> class_share{1.0, 0.96, 0.8, 0.5};
    /// Slots that more urgent classes have needed lately stay free for them.
    bool reserve_demand = true;
    double demand_margin = 1.3;
    timestamp demand_half_life = std::chrono::seconds(60);
    /// After the loss of targets or of a dispatcher urgent calls wait together. Counted as lasting demand they kept
    /// slots empty for more than 30 s (`lagoonferry_bench recovery_timeout`, domain-lost). Both values are from its
    /// trials.
    timestamp settling_half_life = std::chrono::seconds(10);
    timestamp settling_time = std::chrono::seconds(40);

    /// Waiting calls of a class, per target of the group.
    per_class<double> max_queue_per_target{128, 128, 32, 16};

    double ageing_tokens_per_s = 10; ///< service credited to a waiting call
    double account_weight = 1;       ///< weight of the account's recent tokens against the program's
    timestamp account_half_life = std::chrono::seconds(30);

    timestamp token_interval_goal = std::chrono::milliseconds(72); ///< between tokens; the limits adapt to it

    timestamp holder_timeout = std::chrono::seconds(10);
    timestamp recovery_timeout = std::chrono::seconds(2); ///< half limits after a start without memory
    timestamp retry_after = std::chrono::seconds(1);      ///< lower bound of the time in a refusal
};

} // namespace lagoonferry
