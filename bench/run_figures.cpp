#include "run_figures.h"

namespace lagoonferry::bench {

namespace {

constexpr std::array columns{
    figure_column{"programs", &run_figures::programs},
    figure_column{"program_p50_s", &run_figures::program_p50_s},
    figure_column{"program_p95_s", &run_figures::program_p95_s},
    figure_column{"program_p99_s", &run_figures::program_p99_s},
    figure_column{"light_p50_s", &run_figures::light_p50_s},
    figure_column{"light_p95_s", &run_figures::light_p95_s},
    figure_column{"bulk_p50_s", &run_figures::bulk_p50_s},
    figure_column{"bulk_p95_s", &run_figures::bulk_p95_s},
    figure_column{"given_up_share", &run_figures::given_up_share},
    figure_column{"first_token_p50_s", &run_figures::first_token_p50_s},
    figure_column{"first_token_p95_s", &run_figures::first_token_p95_s},
    figure_column{"first_token_p99_s", &run_figures::first_token_p99_s},
    figure_column{"token_gap_p50_ms", &run_figures::token_gap_p50_ms},
    figure_column{"token_gap_p95_ms", &run_figures::token_gap_p95_ms},
    figure_column{"token_gap_p99_ms", &run_figures::token_gap_p99_ms},
    figure_column{"recomputed_share", &run_figures::recomputed_share},
    figure_column{"idle_held_tokens", &run_figures::idle_held_tokens},
    figure_column{"served_safety", &run_figures::served_safety},
    figure_column{"served_interactive", &run_figures::served_interactive},
    figure_column{"served_normal", &run_figures::served_normal},
    figure_column{"served_bulk", &run_figures::served_bulk},
    figure_column{"short_wait_p50_s", &run_figures::short_wait_p50_s},
    figure_column{"short_wait_p99_s", &run_figures::short_wait_p99_s},
    figure_column{"refused_safety", &run_figures::refused_safety},
    figure_column{"refused_other", &run_figures::refused_other},
    figure_column{"refuse_time_p95_s", &run_figures::refuse_time_p95_s},
    figure_column{"preempted", &run_figures::preempted},
};

} // namespace

std::span<const figure_column> figure_columns()
{
    return columns;
}

} // namespace lagoonferry::bench
