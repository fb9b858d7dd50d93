#include "routing/target_placement.h"

#include <algorithm>
#include <cmath>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Specified speeds of the model engines, used until the speed of a target is known.
constexpr double default_ms_per_token = 5.1;
constexpr double prompt_ms_per_token = 1 / 29.4;
constexpr double default_service_ms = 40;

/// Relative growth of the step time with each other request in the batch, for its tokens and for the steps that also
/// compute a part of its prompt.
constexpr double batch_growth = 0.03;

/// Fraction of the prefill time by which a prefill delays each other request at the target. Without this cost, turns
/// leave a busy target for one that has to compute their whole prompt, and make that one busy. For a target with less
/// than the mean load the mean is used, because it will not stay idle.
constexpr double prefill_delay_fraction = 0.8;

/// A waiting request delays the new one by about one step of the batch and its prefill.
constexpr double waiting_ms = 40;

/// Relative growth of a plain service's response time from idle to all slots in use.
constexpr double service_growth = 0.1;

/// Estimates within this factor of the best one count as equal, so that gateways with the same knowledge choose
/// different targets.
constexpr double equal_factor = 1.08;

/// Weight of a new sample in the moving average of a target's time per token or response.
constexpr double ms_per_unit_weight = 0.3;

/// Half-life of the difference between a target's time per token or response and the mean of all candidates, so that a
/// target that was slow is tried again.
constexpr double ms_per_unit_half_life_s = 8;

/// Half-life of a reported work factor: about the duration of a slow phase of a machine.
constexpr double work_factor_half_life_ms = 500;

/// Load reports of other gateways expire after this time; they are sent several times a second.
constexpr milliseconds peer_load_timeout{1'500};

/// Probability that a prompt block that many programs share is not cached at a target for which it is unknown.
constexpr double shared_block_miss_probability = 0.3;

/// Delay added to the estimate after a failure. It doubles with each further consecutive failure. Its half-life is
/// `failure_half_life_ms` times the number of these failures.
constexpr double failure_ms = 120;
constexpr double failure_half_life_ms = 700;
constexpr std::uint32_t max_counted_failures = 6;

/// Consecutive failures at another gateway from which on they count here too. A single one may be a fault of the
/// network between that gateway and the target.
constexpr std::uint32_t min_peer_failures = 2;

/// Failures are reported to the other gateways for this time.
constexpr milliseconds failure_report_time{3'000};

/// No requests for this time after a refusal: about the interval at which a full target finishes requests.
constexpr milliseconds refusal_pause{80};

/// Round-trip time between failure domains.
constexpr double cross_domain_round_trip_ms = 3;

/// Number of remembered prompt blocks of one target above which old ones are dropped, and how long a block counts as
/// cached after its last use.
constexpr std::size_t max_cached_blocks = 512;
constexpr timestamp cached_block_retention = std::chrono::seconds(30);

double ms_between(timestamp from, timestamp to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

double decayed(double value, double elapsed, double half_life)
{
    return value * std::exp2(-std::max(0.0, elapsed) / half_life);
}

double default_ms_per_unit(const placement_request& request)
{
    return request.prompt.empty() ? default_service_ms : default_ms_per_token;
}

} // namespace

target_placement::target_entry& target_placement::entry_for(const target_record& target)
{
    const auto it = m_entries.try_emplace(target.id).first;
    target_entry& item = it->second;
    // A restarted target has an empty prefix cache.
    if (item.start != target.start) {
        const std::uint32_t in_flight = item.in_flight;
        const std::uint32_t uncached = item.uncached_tokens;
        item = {};
        item.in_flight = in_flight;
        item.uncached_tokens = uncached;
        item.start = target.start;
    }
    return item;
}

target_placement::target_entry* target_placement::find(std::string_view id)
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second;
}

std::uint32_t target_placement::in_flight(std::string_view id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? 0 : it->second.in_flight;
}

target_placement::candidate_averages target_placement::averages_of(std::span<const target_record* const> candidates,
                                                                   double default_ms_per_unit, timestamp now) const
{
    candidate_averages averages;
    if (m_sampled_peer_count > 0) {
        const auto reporting = static_cast<double>(m_peers.count_reporting_since(now - peer_load_timeout));
        averages.peer_scale = std::max(1.0, static_cast<double>(m_sampled_peer_count) / std::max(1.0, reporting));
    }
    int known = 0;
    for (const target_record* target : candidates) {
        const auto it = m_entries.find(target->id);
        if (it == m_entries.end()) {
            continue;
        }
        averages.in_flight += total_load_at(*target, it->second, averages.peer_scale, now).in_flight;
        if (it->second.ms_per_unit > 0) {
            averages.ms_per_unit += it->second.ms_per_unit;
            ++known;
        }
    }
    averages.in_flight /= static_cast<double>(std::max<std::size_t>(candidates.size(), 1));
    averages.ms_per_unit = known == 0 ? default_ms_per_unit : averages.ms_per_unit / known;
    return averages;
}

double target_placement::expected_work_factor(const target_entry& item, timestamp now)
{
    return 1 + decayed(item.work_factor - 1, ms_between(item.reported_at, now), work_factor_half_life_ms);
}

double target_placement::uncached_tokens(const target_record& target, const target_entry& item,
                                         const placement_request& request, timestamp now)
{
    double uncached = 0;
    double total = 0;
    // All blocks so far are cached. Everything after a missing token has to be computed again.
    bool prefix_cached = true;
    for (std::size_t n = 0; n < request.prompt.size(); ++n) {
        const prompt_block& block = request.prompt[n];
        const auto it = item.cached_blocks.find(block.id);
        const bool known = it != item.cached_blocks.end() && now - it->second.used < cached_block_retention;
        const bool shared = n == 0 && request.prompt.size() > 1;
        double missing = block.tokens;
        if (known && prefix_cached) {
            missing -= std::min(block.tokens, it->second.tokens);
            prefix_cached = missing <= 0;
        }
        else if (shared) {
            missing *= shared_block_miss_probability;
        }
        else {
            prefix_cached = false;
        }
        uncached += missing;
        total += block.tokens;
    }
    if (target.id == request.session.target) {
        uncached = std::min(uncached, std::max(0.0, total - request.session.cached_tokens));
    }
    return uncached;
}

std::uint32_t target_placement::uncached_tokens(const target_record& target, const placement_request& request,
                                                timestamp now)
{
    return static_cast<std::uint32_t>(uncached_tokens(target, entry_for(target), request, now));
}

target_placement::total_load target_placement::total_load_at(const target_record& target, const target_entry& item,
                                                             double peer_scale, timestamp now) const
{
    total_load sum{static_cast<double>(item.in_flight), static_cast<double>(item.uncached_tokens)};
    for (const auto& peer_load : m_peers.at(target.id)) {
        if (now - peer_load.received < peer_load_timeout) {
            sum.in_flight += peer_scale * peer_load.in_flight;
            sum.uncached_tokens += peer_scale * peer_load.uncached_tokens;
        }
    }
    return sum;
}

double target_placement::estimate_ms(const target_record& target, const target_entry& item,
                                     const placement_request& request, const candidate_averages& averages,
                                     timestamp now) const
{
    const double ms_per_unit = item.ms_per_unit <= 0
                                   ? averages.ms_per_unit
                                   : averages.ms_per_unit + decayed(item.ms_per_unit - averages.ms_per_unit,
                                                                    ms_between(item.ms_per_unit_updated, now),
                                                                    ms_per_unit_half_life_s * 1'000);
    const double work_factor = expected_work_factor(item, now);
    const total_load load = total_load_at(target, item, averages.peer_scale, now);
    const double waiting = std::max(0.0, load.in_flight + 1.0 - target.slots);
    double ms = 0;
    if (!request.prompt.empty()) {
        const double ms_per_uncached = prompt_ms_per_token * ms_per_unit / default_ms_per_token * work_factor;
        const double own_prefill_ms = uncached_tokens(target, item, request, now) * ms_per_uncached;
        const double queued_prefill_ms = load.uncached_tokens * ms_per_uncached;
        const double delayed_requests = std::max(load.in_flight, averages.in_flight);
        ms = queued_prefill_ms + own_prefill_ms * (1 + prefill_delay_fraction * delayed_requests) +
             request.output_tokens * ms_per_unit * work_factor * (1 + batch_growth * load.in_flight) +
             waiting * waiting_ms;
    }
    else {
        ms = ms_per_unit * work_factor * (1 + waiting / target.slots + service_growth * load.in_flight / target.slots);
    }
    if (target.failure_domain != request.local_domain) {
        ms += cross_domain_round_trip_ms;
    }
    return ms + failure_penalty_ms(target, item, now);
}

// A target that fails its requests quickly looks idle. Failures at other gateways count as well, because each gateway
// sends only a few requests to the target.
double target_placement::failure_penalty_ms(const target_record& target, const target_entry& item, timestamp now) const
{
    const auto penalty = [](std::uint32_t failures, double age_ms) {
        const auto counted = static_cast<double>(std::min(failures, max_counted_failures));
        return failures == 0 ? 0.0
                             : decayed(failure_ms * std::exp2(counted - 1), age_ms, failure_half_life_ms * counted);
    };
    double worst = penalty(item.failures, ms_between(item.failed_at, now));
    for (const auto& peer_load : m_peers.at(target.id)) {
        if (peer_load.failures >= min_peer_failures) {
            worst = std::max(worst, penalty(peer_load.failures, ms_between(peer_load.received, now)));
        }
    }
    return worst;
}

std::vector<target_placement::estimate> target_placement::estimates_of(std::span<const target_record* const> candidates,
                                                                       const placement_request& request,
                                                                       const candidate_averages& averages,
                                                                       timestamp now)
{
    std::vector<estimate> estimates;
    for (const target_record* item : candidates) {
        const target_entry& known = entry_for(*item);
        if (known.refused_until <= now &&
            std::ranges::find(request.excluded_targets, item->id) == request.excluded_targets.end()) {
            estimates.push_back({item, estimate_ms(*item, known, request, averages, now)});
        }
    }
    return estimates;
}

std::optional<expected_duration> target_placement::expect(std::span<const target_record* const> candidates,
                                                          const placement_request& request, timestamp now)
{
    const candidate_averages averages = averages_of(candidates, default_ms_per_unit(request), now);
    const std::vector<estimate> estimates = estimates_of(candidates, request, averages, now);
    if (estimates.empty()) {
        return std::nullopt;
    }
    const estimate best = std::ranges::min(estimates, {}, &estimate::ms);
    expected_duration result{best.ms, averages.ms_per_unit};
    if (!request.prompt.empty()) {
        const double ms_per_uncached = prompt_ms_per_token * averages.ms_per_unit / default_ms_per_token;
        result.idle_ms = uncached_tokens(*best.target, entry_for(*best.target), request, now) * ms_per_uncached +
                         request.output_tokens * averages.ms_per_unit;
    }
    return result;
}

const target_record* target_placement::choose(std::span<const target_record* const> candidates,
                                              const placement_request& request, timestamp now)
{
    const candidate_averages averages = averages_of(candidates, default_ms_per_unit(request), now);
    std::vector<estimate> estimates = estimates_of(candidates, request, averages, now);
    if (estimates.empty()) {
        return nullptr;
    }
    const double best = std::ranges::min(estimates, {}, &estimate::ms).ms;
    std::erase_if(estimates, [best](const estimate& item) { return item.ms > best * equal_factor; });
    std::uniform_int_distribution<std::size_t> pick(0, estimates.size() - 1);
    return estimates[pick(m_random)].target;
}

void target_placement::on_sent(const target_record& target, std::uint32_t uncached)
{
    target_entry& item = entry_for(target);
    ++item.in_flight;
    item.uncached_tokens += uncached;
}

void target_placement::on_first_event(std::string_view id, std::uint32_t uncached)
{
    if (target_entry* item = find(id)) {
        item->uncached_tokens -= std::min(item->uncached_tokens, uncached);
    }
}

void target_placement::on_end(std::string_view id)
{
    if (target_entry* item = find(id); item != nullptr && item->in_flight > 0) {
        --item->in_flight;
    }
}

std::vector<target_load> target_placement::local_loads(timestamp now) const
{
    std::vector<target_load> loads;
    for (const auto& [id, item] : m_entries) {
        const bool failing = item.failures > 0 && now - item.failed_at < failure_report_time;
        if (item.in_flight > 0 || failing) {
            loads.push_back({id, item.in_flight, item.uncached_tokens, failing ? item.failures : 0});
        }
    }
    return loads;
}

void target_placement::on_peer_loads(std::string_view gateway, std::span<const target_load> loads, timestamp now)
{
    m_peers.on_load_report(gateway, loads, now);
}

void target_placement::on_report(std::string_view id, const reported_load& report, timestamp now)
{
    if (target_entry* item = find(id)) {
        item->work_factor = report.work_factor;
        item->reported_at = now;
    }
}

void target_placement::update_ms_per_unit(std::string_view id, double ms, timestamp now)
{
    target_entry* item = find(id);
    if (item == nullptr || ms <= 0) {
        return;
    }
    const double base = ms / std::max(1.0, expected_work_factor(*item, now));
    item->ms_per_unit =
        item->ms_per_unit <= 0 ? base : item->ms_per_unit + ms_per_unit_weight * (base - item->ms_per_unit);
    item->ms_per_unit_updated = now;
}

void target_placement::on_token_time(std::string_view id, double ms_per_token, timestamp now)
{
    update_ms_per_unit(id, ms_per_token, now);
}

void target_placement::on_service_time(std::string_view id, double ms, timestamp now)
{
    update_ms_per_unit(id, ms, now);
}

void target_placement::on_prompt(std::string_view id, std::span<const prompt_block> prompt, std::uint32_t output,
                                 timestamp now)
{
    target_entry* item = find(id);
    if (item == nullptr || prompt.empty()) {
        return;
    }
    for (const prompt_block& block : prompt) {
        item->cached_blocks[block.id] = {block.tokens, now};
    }
    item->cached_blocks[prompt.back().id].tokens += output;
    if (item->cached_blocks.size() > max_cached_blocks) {
        std::erase_if(item->cached_blocks,
                      [now](const auto& pair) { return now - pair.second.used > cached_block_retention / 2; });
    }
}

void target_placement::on_failure(std::string_view id, timestamp now)
{
    if (target_entry* item = find(id)) {
        ++item->failures;
        item->failed_at = now;
    }
}

void target_placement::on_refusal(std::string_view id, timestamp now)
{
    if (target_entry* item = find(id)) {
        item->refused_until = now + refusal_pause;
    }
}

void target_placement::on_success(std::string_view id)
{
    if (target_entry* item = find(id)) {
        item->failures = 0;
    }
}

} // namespace lagoonferry
