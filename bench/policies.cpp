#include "policies.h"

#include "baseline_policies.h"
#include "dispatch/affinity_selector.h"
#include "dispatch/least_attained_service_order.h"
#include "oracle.h"

#include <array>

namespace lagoonferry::bench {

namespace {

policy_parts shipped_with(const dispatch_settings& settings)
{
    return {settings, std::make_unique<affinity_selector>(), std::make_unique<least_attained_service_order>(settings)};
}

policy_parts shipped(const ground_truth& /*truth*/)
{
    return shipped_with({});
}

/// Returns settings with all mechanisms of the shipped policy off. The engines still queue calls and order them by
/// priority.
dispatch_settings baseline_settings()
{
    dispatch_settings settings;
    settings.adaptive_limit = false;
    settings.detect_slow = false;
    settings.preempt_bulk = false;
    settings.refuse_late = false;
    settings.reserve_demand = false;
    settings.class_share = {1, 1, 1, 1};
    return settings;
}

template <class Selector>
policy_parts unlimited_dispatch(const ground_truth& /*truth*/)
{
    auto settings = baseline_settings();
    settings.unlimited = true;
    return {settings, std::make_unique<Selector>(), std::make_unique<fifo_order>()};
}

policy_parts fifo(const ground_truth& /*truth*/)
{
    return {baseline_settings(), std::make_unique<least_in_flight_selector>(), std::make_unique<fifo_order>()};
}

policy_parts oracle(const ground_truth& truth)
{
    return {dispatch_settings{}, std::make_unique<oracle_selector>(truth), std::make_unique<oracle_order>(truth)};
}

policy_parts without_headroom(const ground_truth& /*truth*/)
{
    dispatch_settings settings;
    settings.class_share = {1, 1, 1, 1};
    return shipped_with(settings);
}

policy_parts without_least_service(const ground_truth& /*truth*/)
{
    return {dispatch_settings{}, std::make_unique<affinity_selector>(), std::make_unique<priority_fifo_order>()};
}

policy_parts without_classes(const ground_truth& /*truth*/)
{
    return {dispatch_settings{}, std::make_unique<affinity_selector>(), std::make_unique<fifo_order>()};
}

policy_parts without_ageing(const ground_truth& /*truth*/)
{
    dispatch_settings settings;
    settings.ageing_tokens_per_s = 0;
    return shipped_with(settings);
}

policy_parts without_account_fairness(const ground_truth& /*truth*/)
{
    dispatch_settings settings;
    settings.account_weight = 0;
    return shipped_with(settings);
}

policy_parts without_affinity(const ground_truth& /*truth*/)
{
    const dispatch_settings settings;
    return {settings, std::make_unique<affinity_selector>(false),
            std::make_unique<least_attained_service_order>(settings)};
}

/// Returns the shipped policy with one mechanism switched off.
template <bool dispatch_settings::*Mechanism>
policy_parts without(const ground_truth& /*truth*/)
{
    dispatch_settings settings;
    settings.*Mechanism = false;
    return shipped_with(settings);
}

constexpr auto baseline = policy_role::baseline;
constexpr auto ablation = policy_role::ablation;

constexpr std::array rows{
    policy_row{"shipped", policy_role::shipped, bench::shipped},
    policy_row{"random", baseline, unlimited_dispatch<random_selector>},
    policy_row{"round robin", baseline, unlimited_dispatch<round_robin_selector>},
    policy_row{"least reported load", baseline, unlimited_dispatch<least_reported_load_selector>},
    policy_row{"two random choices", baseline, unlimited_dispatch<two_random_choices_selector>},
    policy_row{"first come first served", baseline, fifo},
    policy_row{"oracle", policy_role::oracle, bench::oracle},
    policy_row{"without classes", ablation, without_classes},
    policy_row{"without headroom", ablation, without_headroom},
    policy_row{"without demand reserve", ablation, without<&dispatch_settings::reserve_demand>},
    policy_row{"without least service", ablation, without_least_service},
    policy_row{"without ageing", ablation, without_ageing},
    policy_row{"without account fairness", ablation, without_account_fairness},
    policy_row{"without prefix affinity", ablation, without_affinity},
    policy_row{"without adaptive limit", ablation, without<&dispatch_settings::adaptive_limit>},
    policy_row{"without slow detection", ablation, without<&dispatch_settings::detect_slow>},
    policy_row{"without preemption", ablation, without<&dispatch_settings::preempt_bulk>},
    policy_row{"without refusals", ablation, without<&dispatch_settings::refuse_late>},
};

} // namespace

std::span<const policy_row> policy_rows()
{
    return rows;
}

} // namespace lagoonferry::bench
