#pragma once

#include "util/service_class.h"
#include "util/time.h"

#include <cstdint>

namespace lagoonferry {

/// Parameters of the dispatch policy. A mechanism that is switched off has no influence on any decision.
struct dispatch_settings {
    bool adaptive_limit = true;
    bool detect_slow = true; ///< rates a target by its recent step time instead of its baseline
    bool preempt_bulk = true;
    bool refuse_late = true;
    bool unlimited = false; ///< grants without a limit, so that calls queue at the target

    /// Fraction of a target's limit that a class and the less urgent classes together may use.
    per_class<double> class_share{1.0, 0.96, 0.8, 0.5};
    /// Reserves the slots that more urgent classes have needed recently.
    bool reserve_demand = true;
    double demand_margin = 1.3;
    timestamp demand_half_life = std::chrono::seconds(60);
    /// After the loss of targets or of a dispatcher a backlog of urgent calls builds up. Counted as lasting demand, it
    /// kept reserved slots empty for more than 30 s (`lagoonferry_bench recovery`, fault domain-lost).
    /// Therefore the demand decays faster for some time after a loss.
    timestamp settling_half_life = std::chrono::seconds(10);
    timestamp settling_time = std::chrono::seconds(40);

    /// Maximum number of waiting calls of each class, per target of the group.
    per_class<double> max_queue_per_target{128, 128, 32, 16};

    double ageing_tokens_per_s = 10; ///< credit that a call earns in the queue order while it waits
    double account_weight = 1;       ///< weight of the account's recent usage relative to the program's usage
    timestamp account_half_life = std::chrono::seconds(30);

    /// Goal for the time between two tokens of a call; the concurrency limits adapt to it.
    timestamp token_interval_goal = std::chrono::milliseconds(72);

    /// Slots of a holder that has sent nothing for this time are freed.
    timestamp holder_timeout = std::chrono::seconds(10);
    /// How long a dispatcher that starts without state waits for the reports of the holders; see `slot_recovery`.
    timestamp recovery_timeout = std::chrono::seconds(2);
    /// Lower bound of the retry time in a refusal, before jitter.
    timestamp min_retry_after = std::chrono::seconds(1);
};

} // namespace lagoonferry
