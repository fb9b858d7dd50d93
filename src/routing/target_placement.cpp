#include "routing/target_placement.h"

#include <algorithm>
#include <cmath>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Figures of the model engines on the users' sheets, used until a target's own pace is known.
constexpr double usual_ms_per_token = 5.1;
constexpr double prompt_ms_per_token = 1 / 29.4;
constexpr double usual_service_ms = 40;

/// Growth of a step with each other request in the batch: its tokens, and the share of steps that read its prompt.
constexpr double batch_growth = 0.03;

/// Part of the time to read a prompt that each other request at the target waits for it. Without it turns leave a busy
/// target for one that has to read their whole prompt, and make that one busy. A target that is idle at the moment is
/// charged like the mean, because it will not stay idle.
constexpr double delay_of_others = 0.8;

/// A waiting request delays ours by about a step of the batch and its prompt.
constexpr double waiting_ms = 40;

/// Growth of a plain service's answer time from idle to all slots in use.
constexpr double service_growth = 0.1;

/// Estimates within this factor of the best count as equal, so that gateways that know the same spread their choice.
constexpr double equal_factor = 1.08;

/// Weight of a new observation of pace.
constexpr double pace_weight = 0.3;

/// A learned pace loses half of its difference from the others in this time, so that a target that was slow is tried.
constexpr double pace_half_life_s = 8;

/// Slow spells of a machine last about this long; a report of one loses its weight accordingly.
constexpr double work_factor_memory_ms = 500;

/// What another gateway told counts for this time; it tells its requests several times a second.
constexpr milliseconds peer_memory{1'500};

/// Chance that a target has not read a part that many programs share, when nothing is known of it.
constexpr double shared_part_unread = 0.3;

/// A failure counts as this much delay, doubled with each further one in a row, and halves in `failure_memory_ms`.
constexpr double failure_ms = 120;
constexpr double failure_memory_ms = 700;
constexpr std::uint32_t most_failures_counted = 6;

/// Failures in a row at another gateway that count here too. A single one may be of the way between the two.
constexpr std::uint32_t failures_believed = 2;

/// Failures are told to others for this time.
constexpr milliseconds failures_told{3'000};

/// Pause after a refusal: about the time in which a full target ends a request.
constexpr milliseconds refusal_pause{80};

/// Two ways between failure domains.
constexpr double other_domain_ms = 3;

/// Prompt parts that are remembered for one target, and for how long.
constexpr std::size_t most_parts = 512;
constexpr timestamp part_memory = std::chrono::seconds(30);

double ms_between(timestamp from, timestamp to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

double halved(double value, double elapsed, double half_life)
{
    return value * std::exp2(-std::max(0.0, elapsed) / half_life);
}

} // namespace

target_placement::row& target_placement::row_of(const target_record& target)
{
    const auto it = m_rows.try_emplace(target.id).first;
    row& item = it->second;
    // A new start under the same id holds nothing of what the former one had read.
    if (item.start != target.start) {
        const std::uint32_t in_flight = item.in_flight;
        const std::uint32_t unread = item.uncached_tokens;
        item = {};
        item.in_flight = in_flight;
        item.uncached_tokens = unread;
        item.start = target.start;
    }
    return item;
}

target_placement::row* target_placement::find(std::string_view id)
{
    const auto it = m_rows.find(id);
    return it == m_rows.end() ? nullptr : &it->second;
}

std::uint32_t target_placement::in_flight(std::string_view id) const
{
    const auto it = m_rows.find(id);
    return it == m_rows.end() ? 0 : it->second.in_flight;
}

target_placement::common_state target_placement::common_of(std::span<const target_record* const> candidates,
                                                           double usual_pace, timestamp now) const
{
    common_state common;
    if (m_sampled_fleet > 0) {
        const auto heard = static_cast<double>(m_peers.count_reporting_since(now - peer_memory));
        common.sampling = std::max(1.0, static_cast<double>(m_sampled_fleet) / std::max(1.0, heard));
    }
    int known = 0;
    for (const target_record* target : candidates) {
        const auto it = m_rows.find(target->id);
        if (it == m_rows.end()) {
            continue;
        }
        common.in_flight += all_loads(*target, it->second, common.sampling, now).in_flight;
        if (it->second.pace > 0) {
            common.pace += it->second.pace;
            ++known;
        }
    }
    common.in_flight /= static_cast<double>(std::max<std::size_t>(candidates.size(), 1));
    common.pace = known == 0 ? usual_pace : common.pace / known;
    return common;
}

double target_placement::expected_work_factor(const row& item, timestamp now)
{
    return 1 + halved(item.work_factor - 1, ms_between(item.reported, now), work_factor_memory_ms);
}

double target_placement::uncached_tokens(const target_record& target, const row& item, const placement_request& request,
                                         timestamp now)
{
    double unread = 0;
    double all = 0;
    bool whole = true; // all parts so far are kept; what follows a missing token is read again
    for (std::size_t n = 0; n < request.prompt.size(); ++n) {
        const prompt_block& part = request.prompt[n];
        const auto it = item.parts.find(part.id);
        const bool known = it != item.parts.end() && now - it->second.used < part_memory;
        const bool shared = n == 0 && request.prompt.size() > 1;
        double missing = part.tokens;
        if (known && whole) {
            missing -= std::min(part.tokens, it->second.tokens);
            whole = missing <= 0;
        }
        else if (shared) {
            missing *= shared_part_unread;
        }
        else {
            whole = false;
        }
        unread += missing;
        all += part.tokens;
    }
    if (target.id == request.session.target) {
        unread = std::min(unread, std::max(0.0, all - request.session.cached_tokens));
    }
    return unread;
}

std::uint32_t target_placement::uncached_tokens(const target_record& target, const placement_request& request,
                                                timestamp now)
{
    return static_cast<std::uint32_t>(uncached_tokens(target, row_of(target), request, now));
}

target_placement::present_load target_placement::all_loads(const target_record& target, const row& item,
                                                           double sampling, timestamp now) const
{
    present_load sum{static_cast<double>(item.in_flight), static_cast<double>(item.uncached_tokens)};
    for (const auto& peer_load : m_peers.at(target.id)) {
        if (now - peer_load.received < peer_memory) {
            sum.in_flight += sampling * peer_load.in_flight;
            sum.uncached_tokens += sampling * peer_load.uncached_tokens;
        }
    }
    return sum;
}

double target_placement::estimate_ms(const target_record& target, const row& item, const placement_request& request,
                                     const common_state& common, timestamp now) const
{
    const double pace = item.pace <= 0 ? common.pace
                                       : common.pace + halved(item.pace - common.pace, ms_between(item.paced, now),
                                                              pace_half_life_s * 1'000);
    const double slowness = expected_work_factor(item, now);
    const present_load present = all_loads(target, item, common.sampling, now);
    const double waiting = std::max(0.0, present.in_flight + 1.0 - target.slots);
    double ms = 0;
    if (!request.prompt.empty()) {
        const double ms_per_unread = prompt_ms_per_token * pace / usual_ms_per_token * slowness;
        const double own = uncached_tokens(target, item, request, now) * ms_per_unread;
        const double ahead = present.uncached_tokens * ms_per_unread;
        const double delayed = std::max(present.in_flight, common.in_flight);
        ms = ahead + own * (1 + delay_of_others * delayed) +
             request.output_tokens * pace * slowness * (1 + batch_growth * present.in_flight) + waiting * waiting_ms;
    }
    else {
        ms = pace * slowness * (1 + waiting / target.slots + service_growth * present.in_flight / target.slots);
    }
    if (target.failure_domain != request.local_domain) {
        ms += other_domain_ms;
    }
    return ms + failure_penalty_ms(target, item, now);
}

// A target that fails fast looks free. What other gateways have seen counts as well, since each sends it little.
double target_placement::failure_penalty_ms(const target_record& target, const row& item, timestamp now) const
{
    const auto penalty = [](std::uint32_t failures, double age_ms) {
        const auto counted = static_cast<double>(std::min(failures, most_failures_counted));
        return failures == 0 ? 0.0 : halved(failure_ms * std::exp2(counted - 1), age_ms, failure_memory_ms * counted);
    };
    double worst = penalty(item.failures, ms_between(item.failed_at, now));
    for (const auto& peer_load : m_peers.at(target.id)) {
        if (peer_load.failures >= failures_believed) {
            worst = std::max(worst, penalty(peer_load.failures, ms_between(peer_load.received, now)));
        }
    }
    return worst;
}

const target_record* target_placement::choose(std::span<const target_record* const> candidates,
                                              const placement_request& request, timestamp now)
{
    const double usual_pace = request.prompt.empty() ? usual_service_ms : usual_ms_per_token;
    const common_state common = common_of(candidates, usual_pace, now);
    std::vector<estimate> estimates;
    for (const target_record* item : candidates) {
        const row& known = row_of(*item);
        if (known.refused_until <= now &&
            std::ranges::find(request.excluded_targets, item->id) == request.excluded_targets.end()) {
            estimates.push_back({item, estimate_ms(*item, known, request, common, now)});
        }
    }
    if (estimates.empty()) {
        return nullptr;
    }
    const double best = std::ranges::min(estimates, {}, &estimate::ms).ms;
    std::erase_if(estimates, [best](const estimate& item) { return item.ms > best * equal_factor; });
    std::uniform_int_distribution<std::size_t> pick(0, estimates.size() - 1);
    return estimates[pick(m_random)].target;
}

void target_placement::on_sent(const target_record& target, std::uint32_t unread)
{
    row& item = row_of(target);
    ++item.in_flight;
    item.uncached_tokens += unread;
}

void target_placement::on_first_event(std::string_view id, std::uint32_t unread)
{
    if (row* item = find(id)) {
        item->uncached_tokens -= std::min(item->uncached_tokens, unread);
    }
}

void target_placement::on_end(std::string_view id)
{
    if (row* item = find(id); item != nullptr && item->in_flight > 0) {
        --item->in_flight;
    }
}

std::vector<target_load> target_placement::local_loads(timestamp now) const
{
    std::vector<target_load> shares;
    for (const auto& [id, item] : m_rows) {
        const bool failing = item.failures > 0 && now - item.failed_at < failures_told;
        if (item.in_flight > 0 || failing) {
            shares.push_back({id, item.in_flight, item.uncached_tokens, failing ? item.failures : 0});
        }
    }
    return shares;
}

void target_placement::on_peer_loads(std::string_view gateway, std::span<const target_load> shares, timestamp now)
{
    m_peers.on_load_report(gateway, shares, now);
}

void target_placement::on_report(std::string_view id, const reported_load& report, timestamp now)
{
    if (row* item = find(id)) {
        item->work_factor = report.work_factor;
        item->reported = now;
    }
}

void target_placement::learn_pace(std::string_view id, double ms, timestamp now)
{
    row* item = find(id);
    if (item == nullptr || ms <= 0) {
        return;
    }
    const double base = ms / std::max(1.0, expected_work_factor(*item, now));
    item->pace = item->pace <= 0 ? base : item->pace + pace_weight * (base - item->pace);
    item->paced = now;
}

void target_placement::on_token_time(std::string_view id, double ms_per_token, timestamp now)
{
    learn_pace(id, ms_per_token, now);
}

void target_placement::on_service_time(std::string_view id, double ms, timestamp now)
{
    learn_pace(id, ms, now);
}

void target_placement::on_prompt(std::string_view id, std::span<const prompt_block> prompt, std::uint32_t output,
                                 timestamp now)
{
    row* item = find(id);
    if (item == nullptr || prompt.empty()) {
        return;
    }
    for (const prompt_block& part : prompt) {
        item->parts[part.id] = {part.tokens, now};
    }
    item->parts[prompt.back().id].tokens += output;
    if (item->parts.size() > most_parts) {
        std::erase_if(item->parts, [now](const auto& pair) { return now - pair.second.used > part_memory / 2; });
    }
}

void target_placement::on_failure(std::string_view id, timestamp now)
{
    if (row* item = find(id)) {
        ++item->failures;
        item->failed_at = now;
    }
}

void target_placement::on_refusal(std::string_view id, timestamp now)
{
    if (row* item = find(id)) {
        item->refused_until = now + refusal_pause;
    }
}

void target_placement::on_success(std::string_view id)
{
    if (row* item = find(id)) {
        item->failures = 0;
    }
}

} // namespace lagoonferry
