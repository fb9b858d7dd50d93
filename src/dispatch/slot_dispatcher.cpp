#include "dispatch/slot_dispatcher.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <set>
#include <unordered_set>

namespace lagoonferry {

namespace {

// Initial values, used before any observation.
constexpr double initial_step_us = 30'000;
constexpr double initial_prefill_us = 60;
constexpr double initial_hold_us = 5e6;
constexpr double default_output_tokens = 150; // tokens; used for a call without an estimate
constexpr double prompt_token_service = 0.1;  // service of a computed prompt token relative to a generated token
constexpr double hold_weight = 0.1;           // weight of a new sample in the moving average of the hold time
constexpr double max_retry_after_us = 30e6;
constexpr double program_queue_share = 0.5; // fraction of a class's queue that calls of new programs may fill
constexpr std::size_t max_prefixes = 100'000;
constexpr unsigned slot_counter_bits = 40;
constexpr timestamp unlisted_grace = std::chrono::seconds(2); // the grant may still be in transit
// Holders send progress reports every second. A restarted holder never lists the slots of its former process, so the
// dispatcher queries a holder whose slot has not been listed for this time.
constexpr timestamp max_unlisted_time = std::chrono::seconds(3);
constexpr timestamp query_interval = std::chrono::seconds(1);
constexpr timestamp preempt_retry_interval = std::chrono::seconds(1); // the preemption request may have been lost
constexpr timestamp suspension_time = std::chrono::seconds(2);
constexpr timestamp min_progress_interval = std::chrono::milliseconds(200);

double to_us(timestamp t)
{
    return static_cast<double>(t.count());
}

void update_average(double& value, double sample, double weight)
{
    value = value == 0 ? sample : value + weight * (sample - value);
}

bool is_excluded(const slot_acquire& m, std::string_view target)
{
    return std::ranges::find(m.excluded, target) != m.excluded.end();
}

double expected_output_tokens(const slot_acquire& m)
{
    return m.expected_output > 0 ? m.expected_output : default_output_tokens;
}

} // namespace

slot_dispatcher::slot_dispatcher(const dispatch_settings& settings, std::unique_ptr<target_selector> selector,
                                 std::unique_ptr<queue_order> order, std::uint64_t epoch, std::uint64_t seed,
                                 timestamp now)
    : m_settings(settings), m_target_selector(std::move(selector)), m_queue_order(std::move(order)),
      m_recovery(settings, epoch, now), m_random(seed), m_prefixes(max_prefixes),
      m_account_usage(settings.account_half_life), m_class_limits(settings), m_mean_step_us(initial_step_us),
      m_mean_prefill_us(initial_prefill_us), m_mean_hold_us(initial_hold_us)
{
}

void slot_dispatcher::set_target(const target_info& target, timestamp /*now*/)
{
    const auto index = find_target(target.id);
    if (!index) {
        if (target.state != target_state::gone) {
            m_targets.push_back({target, concurrency_limit(target.slots, m_settings.token_interval_goal), {}});
        }
        return;
    }
    auto& stats = m_targets[*index];
    const bool replaced = stats.info.slots != target.slots || stats.info.state == target_state::gone;
    stats.info = target;
    if (replaced) {
        stats.limit = concurrency_limit(target.slots, m_settings.token_interval_goal);
        stats.latency = {};
    }
    if (target.state == target_state::gone) {
        std::vector<std::uint64_t> lost;
        m_slots.for_each([&](const slot_record& slot) {
            if (slot.target == *index) {
                lost.push_back(slot.slot);
            }
        });
        std::ranges::for_each(lost, [&](std::uint64_t slot) { m_slots.remove(slot); });
        stats.in_flight = 0;
        stats.in_flight_by_class = {};
        m_prefixes.remove_target(*index);
    }
}

void slot_dispatcher::report_load(const load_report& report)
{
    if (const auto index = find_target(report.target)) {
        m_targets[*index].reported_running = report.running;
        m_targets[*index].reported_waiting = report.waiting;
    }
}

void slot_dispatcher::report_cache(const cache_event& event)
{
    if (const auto index = find_target(event.target)) {
        m_prefixes.set(event.prefix, *index, event.tokens);
    }
}

std::vector<outgoing_slot_message> slot_dispatcher::handle(const slot_message& message, timestamp now)
{
    output out;
    std::visit([&](const auto& m) { on(m, now, out); }, message);
    return out;
}

std::vector<outgoing_slot_message> slot_dispatcher::tick(timestamp now)
{
    output out;
    query_holders(now, out);
    expire_slots(now);
    m_counters.abandoned += m_queue.remove_dead_holders(now);
    query_unlisted_slots(now, out);
    m_account_usage.prune(now);
    update_means();
    m_class_limits.observe(m_targets, m_queue, m_recovery.grantable_share(now), now);
    refuse_without_target(out);
    if (m_settings.refuse_late) {
        refuse_late(now, out);
    }
    serve(now, out);
    if (m_settings.preempt_bulk) {
        preempt_for_urgent(now, out);
    }
    return out;
}

dispatch_counters slot_dispatcher::counters() const
{
    auto totals = m_counters;
    totals.slots = m_slots.size();
    totals.waiting = m_queue.calls().size();
    return totals;
}

void slot_dispatcher::on(const slot_acquire& m, timestamp now, output& out)
{
    update_last_seen(m.holder, now);
    if (m_recovery.replaced()) {
        out.push_back({m.holder, slot_epoch{m_recovery.highest_epoch()}});
        return;
    }
    if (repeat_grant(m, out)) {
        return;
    }
    if (m_queue.contains(m.holder, m.request)) {
        out.push_back({m.holder, slot_epoch{m_recovery.epoch()}});
        return;
    }
    if (const auto reply = check_admission(m, m.deadline)) {
        refuse(m, *reply, out);
        return;
    }
    const auto deadline = m.deadline.count() > 0 ? now + m.deadline : timestamp{0};
    m_queue.push({m, now, deadline, m_next_call++});
    serve(now, out);
}

void slot_dispatcher::on(const slot_cancel& m, timestamp now, output& out)
{
    update_last_seen(m.holder, now);
    m_queue.remove(m.holder, m.request);
    if (auto* slot = m_slots.find_request(m.holder, m.request)) {
        free_slot(*slot);
    }
    out.push_back({m.holder, slot_released{0, m.request}});
    serve(now, out);
}

void slot_dispatcher::on(const slot_release& m, timestamp now, output& out)
{
    update_last_seen(m.holder, now);
    if (auto* slot = m_slots.find(m.slot)) {
        observe(m, *slot, now);
        free_slot(*slot);
    }
    out.push_back({m.holder, slot_released{m.slot, 0}});
    serve(now, out);
}

void slot_dispatcher::on(const slot_progress& m, timestamp now, output& out)
{
    update_last_seen(m.holder, now);
    bool unknown = false;
    for (const auto& item : m.slots) {
        auto* slot = m_slots.find(item.slot);
        if (slot == nullptr) {
            unknown = true;
            continue;
        }
        slot->listed = now;
        observe_progress(*slot, item.tokens, now);
    }
    if (unknown) {
        out.push_back({m.holder, slot_query{m_recovery.epoch()}});
    }
}

void slot_dispatcher::on(const slot_report& m, timestamp now, output& out)
{
    if (m.epoch > m_recovery.epoch()) {
        m_recovery.take_over(m.epoch, now);
        m_queue = {};
        query_holders(now, out);
    }
    for (const auto& held : m.slots) {
        if (auto* slot = m_slots.find(held.slot)) {
            slot->listed = now;
        }
        else {
            adopt(held, m.holder, now);
        }
    }
    update_last_seen(m.holder, now);
    if (const auto listed = m_recovery.add_report_part(m)) {
        drop_unlisted(m.holder, *listed, now);
        serve(now, out);
    }
    else if (m.epoch != 0 && m.epoch < m_recovery.epoch()) {
        out.push_back({m.holder, slot_query{m_recovery.epoch()}});
    }
}

void slot_dispatcher::on(const slot_epoch& m, timestamp /*now*/, output& /*out*/)
{
    // The holders retransmit their requests to the dispatcher that they follow now.
    if (m_recovery.note_epoch(m.epoch)) {
        m_queue = {};
    }
}

void slot_dispatcher::query_holders(timestamp now, output& out)
{
    for (auto& holder : m_recovery.holders_to_query(now)) {
        out.push_back({std::move(holder), slot_query{m_recovery.epoch()}});
    }
}

void slot_dispatcher::adopt(const held_slot& held, const std::string& holder, timestamp now)
{
    const auto index = find_target(held.target);
    if (!index || m_targets[*index].info.state == target_state::gone) {
        return;
    }
    slot_record record;
    record.slot = held.slot;
    record.request = held.request;
    record.holder = holder;
    record.target = *index;
    record.priority = held.priority;
    record.prefix = held.prefix;
    record.prompt_tokens = held.prompt_tokens;
    record.granted = now;
    m_slots.add(std::move(record));
    ++m_targets[*index].in_flight;
    ++m_targets[*index].in_flight_by_class.at(index_of(held.priority));
    ++m_counters.adopted;
    m_prefixes.set(held.prefix, *index, held.prompt_tokens);
}

void slot_dispatcher::drop_unlisted(std::string_view holder, std::span<const std::uint64_t> listed, timestamp now)
{
    const std::unordered_set<std::uint64_t> listed_slots(listed.begin(), listed.end());
    std::vector<std::uint64_t> lost;
    m_slots.for_each([&](const slot_record& slot) {
        // After its report a holder accepts no grant of an earlier epoch.
        const bool final = slot.granted < m_recovery.started() || now - slot.granted > unlisted_grace;
        if (slot.holder == holder && !listed_slots.contains(slot.slot) && final) {
            lost.push_back(slot.slot);
        }
    });
    for (const auto id : lost) {
        free_slot(*m_slots.find(id));
    }
}

bool slot_dispatcher::repeat_grant(const slot_acquire& m, output& out)
{
    const auto* slot = m_slots.find_request(m.holder, m.request);
    if (slot == nullptr) {
        return false;
    }
    out.push_back({m.holder, slot_grant{m.request, slot->slot, m_targets[slot->target].info.id, m_recovery.epoch()}});
    return true;
}

std::optional<slot_refuse> slot_dispatcher::check_admission(const slot_acquire& m, timestamp left)
{
    if (!has_usable_target(m)) {
        ++m_counters.refused_no_target;
        return slot_refuse{m.request, retry_after(0), result_code::no_target};
    }
    if (!m_settings.refuse_late) {
        return std::nullopt;
    }
    const double wait = expected_wait_us(m.priority);
    const double max_queue =
        m_settings.max_queue_per_target.at(index_of(m.priority)) * static_cast<double>(m_targets.size());
    const double max_waiting = m.attained_service > 0 ? max_queue : max_queue * program_queue_share;
    if (m_queue.count(m.priority) >= max_waiting) {
        ++m_counters.refused_full;
        return slot_refuse{m.request, retry_after(wait), result_code::overloaded};
    }
    if (left.count() > 0 && wait + expected_run_us(m) > to_us(left)) {
        ++m_counters.refused_deadline;
        return slot_refuse{m.request, retry_after(wait), result_code::deadline_exceeded};
    }
    return std::nullopt;
}

void slot_dispatcher::refuse(const slot_acquire& m, const slot_refuse& reply, output& out)
{
    out.push_back({m.holder, reply});
}

std::chrono::milliseconds slot_dispatcher::retry_after(double wait_us)
{
    const double min_us = to_us(m_settings.min_retry_after);
    const double jitter = 0.5 + m_random.uniform();
    const double us = std::clamp(wait_us, min_us, max_retry_after_us) * jitter;
    return std::chrono::milliseconds(static_cast<std::int64_t>(us / 1000));
}

bool slot_dispatcher::has_usable_target(const slot_acquire& m) const
{
    return std::ranges::any_of(m_targets, [&](const target_stats& target) {
        return target.info.state == target_state::live && !is_excluded(m, target.info.id);
    });
}

double slot_dispatcher::expected_wait_us(service_class c) const
{
    double slots = 0;
    double in_flight = 0;
    for (const auto& target : m_targets) {
        if (target.accepts_calls()) {
            slots += target.limit.value() * m_class_limits.class_share(c);
            in_flight += target.in_flight;
        }
    }
    double calls_ahead = 0;
    for (std::size_t n = 0; n <= index_of(c); ++n) {
        calls_ahead += m_queue.count(static_cast<service_class>(n));
    }
    const double missing = in_flight + calls_ahead + 1 - slots;
    return missing <= 0 ? 0 : missing * m_mean_hold_us / std::max(1.0, slots);
}

double slot_dispatcher::expected_run_us(const slot_acquire& m) const
{
    return expected_output_tokens(m) * m_mean_step_us;
}

void slot_dispatcher::serve(timestamp now, output& out)
{
    auto open = classes_with_headroom(now);
    const auto can_serve = [&](std::size_t n) { return open[n] && m_queue.count(static_cast<service_class>(n)) > 0; };
    if (!can_serve(0) && !can_serve(1) && !can_serve(2) && !can_serve(3)) {
        return;
    }
    std::vector<std::size_t> served;
    for (const auto index : m_queue.sorted(*m_queue_order, m_account_usage, now)) {
        const auto& call = m_queue.calls()[index];
        auto& class_open = open.at(index_of(call.acquire.priority));
        if (!class_open) {
            continue;
        }
        if (!fill_views(call, now)) {
            class_open = !call.acquire.excluded.empty();
            continue;
        }
        if (const auto target = m_target_selector->choose(call, m_views, now, m_random)) {
            grant(call, *target, now, out);
            served.push_back(index);
        }
    }
    std::ranges::sort(served, std::greater<>{});
    std::ranges::for_each(served, [&](std::size_t index) { m_queue.take(index); });
}

per_class<bool> slot_dispatcher::classes_with_headroom(timestamp now) const
{
    const double grantable_share = m_recovery.grantable_share(now);
    per_class<bool> open{};
    for (const auto& target : m_targets) {
        if (!target.accepts_calls()) {
            continue;
        }
        for (std::size_t n = 0; n < class_count; ++n) {
            open.at(n) =
                open.at(n) || m_class_limits.has_headroom(target, static_cast<service_class>(n), grantable_share, now);
        }
    }
    return open;
}

bool slot_dispatcher::fill_views(const waiting_call& call, timestamp now)
{
    const double grantable_share = m_recovery.grantable_share(now);
    m_views.resize(m_targets.size());
    bool any = false;
    for (std::size_t n = 0; n < m_targets.size(); ++n) {
        const auto& target = m_targets[n];
        auto& view = m_views[n];
        view.id = target.info.id;
        view.in_flight = target.in_flight;
        view.limit = m_class_limits.limit_of(target, call.acquire.priority, grantable_share);
        view.open = m_class_limits.has_headroom(target, call.acquire.priority, grantable_share, now) &&
                    target.accepts_calls() && !is_excluded(call.acquire, target.info.id);
        view.reported_running = target.reported_running;
        view.reported_waiting = target.reported_waiting;
        view.cached_tokens = 0;
        view.step_us = step_us(target, now);
        view.step_growth = target.latency.step_growth();
        view.prefill_us = prefill_us(target);
        const double hold = target.hold_us > 0 ? target.hold_us : m_mean_hold_us;
        view.release_us = hold / std::max<double>(1, target.in_flight);
        any = any || view.open;
    }
    for (const auto& holding : m_prefixes.locations_of(call.acquire.prefix)) {
        m_views[holding.target].cached_tokens = m_targets[holding.target].accepts_calls() ? holding.tokens : 0;
    }
    return any;
}

void slot_dispatcher::grant(const waiting_call& call, std::size_t index, timestamp now, output& out)
{
    auto& target = m_targets[index];
    const auto& a = call.acquire;
    ++target.in_flight;
    ++target.in_flight_by_class.at(index_of(a.priority));
    slot_record record;
    record.slot = (m_recovery.epoch() << slot_counter_bits) | m_next_slot++;
    record.request = a.request;
    record.holder = a.holder;
    record.account = a.account;
    record.target = index;
    record.priority = a.priority;
    record.prefix = a.prefix;
    record.prompt_tokens = a.prompt_tokens;
    record.expected_output = a.expected_output;
    record.batch = target.in_flight;
    record.granted = now;
    out.push_back({a.holder, slot_grant{a.request, record.slot, target.info.id, m_recovery.epoch()}});
    m_prefixes.set(a.prefix, index, a.prompt_tokens);
    m_slots.add(std::move(record));
    m_slots.update_last_seen(a.holder, now);
    ++m_counters.granted;
}

void slot_dispatcher::free_slot(slot_record& slot)
{
    auto& target = m_targets[slot.target];
    auto& in_flight_by_class = target.in_flight_by_class.at(index_of(slot.priority));
    target.in_flight -= std::min(target.in_flight, 1U);
    in_flight_by_class -= std::min(in_flight_by_class, 1U);
    m_slots.remove(slot.slot);
}

void slot_dispatcher::observe(const slot_release& m, const slot_record& slot, timestamp now)
{
    auto& target = m_targets[slot.target];
    if (m.failed) {
        if (++target.failures >= suspension_failure_threshold) {
            target.suspended_until = now + suspension_time;
        }
        m_prefixes.set(slot.prefix, slot.target, 0);
        return;
    }
    target.failures = m.tokens > 0 ? 0 : target.failures;
    const std::uint32_t computed = slot.prompt_tokens - std::min(m.cached_tokens, slot.prompt_tokens);
    m_account_usage.add(slot.account, m.tokens + prompt_token_service * computed, now);
    if (m.first_token_us > 0) {
        target.latency.observe_prefill(m.first_token_us, computed);
    }
    if (m.per_token_us > 0) {
        observe_step(target, m.per_token_us, (slot.batch + target.in_flight) / 2.0, now);
    }
    if (!m.preempted) {
        update_average(target.hold_us, to_us(now - slot.granted), hold_weight);
        update_average(m_mean_hold_us, to_us(now - slot.granted), hold_weight / 2);
    }
    m_prefixes.set(slot.prefix, slot.target, slot.prompt_tokens + m.tokens);
}

void slot_dispatcher::observe_progress(slot_record& slot, std::uint32_t tokens, timestamp now)
{
    const auto elapsed = now - slot.observed;
    if (slot.observed.count() > 0 && elapsed < min_progress_interval) {
        return;
    }
    if (slot.observed.count() > 0) {
        const double gained = std::max<double>(1, tokens - std::min(tokens, slot.tokens));
        auto& target = m_targets[slot.target];
        observe_step(target, to_us(elapsed) / gained, target.in_flight, now);
    }
    if (tokens > 0) {
        slot.observed = now;
        slot.tokens = tokens;
    }
}

void slot_dispatcher::observe_step(target_stats& target, double per_token_us, double batch, timestamp now)
{
    target.latency.observe_step(per_token_us, batch, now);
    if (m_settings.adaptive_limit) {
        const double smoothed = target.latency.baseline_step_us() * target.latency.batch_factor(batch);
        target.limit.observe(smoothed, target.in_flight, now);
    }
}

void slot_dispatcher::refuse_late(timestamp now, output& out)
{
    std::vector<std::size_t> late;
    for (std::size_t n = 0; n < m_queue.calls().size(); ++n) {
        const auto& call = m_queue.calls()[n];
        if (call.deadline.count() > 0 && to_us(call.deadline - now) < expected_run_us(call.acquire)) {
            late.push_back(n);
        }
    }
    std::ranges::reverse(late);
    for (const auto n : late) {
        const auto call = m_queue.take(n);
        ++m_counters.refused_deadline;
        refuse(call.acquire,
               {call.acquire.request, retry_after(expected_wait_us(call.acquire.priority)),
                result_code::deadline_exceeded},
               out);
    }
}

/// Refuses the calls that no live target of this group can run any more, so that the holder tries another group.
void slot_dispatcher::refuse_without_target(output& out)
{
    for (std::size_t n = m_queue.calls().size(); n > 0; --n) {
        if (has_usable_target(m_queue.calls()[n - 1].acquire)) {
            continue;
        }
        const auto call = m_queue.take(n - 1);
        ++m_counters.refused_no_target;
        refuse(call.acquire, {call.acquire.request, retry_after(0), result_code::no_target}, out);
    }
}

void slot_dispatcher::update_last_seen(std::string_view holder, timestamp now)
{
    m_slots.update_last_seen(holder, now);
    m_queue.update_last_seen(holder, now);
}

void slot_dispatcher::expire_slots(timestamp now)
{
    for (const auto id : m_slots.slots_silent_since(now - m_settings.holder_timeout)) {
        free_slot(*m_slots.find(id));
        ++m_counters.expired;
    }
}

void slot_dispatcher::query_unlisted_slots(timestamp now, output& out)
{
    if (now < m_next_query) {
        return;
    }
    m_next_query = now + query_interval;
    std::set<std::string> holders;
    m_slots.for_each([&](const slot_record& slot) {
        if (now - std::max(slot.granted, slot.listed) > max_unlisted_time) {
            holders.insert(slot.holder);
        }
    });
    std::ranges::for_each(holders, [&](const auto& id) { out.push_back({id, slot_query{m_recovery.epoch()}}); });
}

void slot_dispatcher::preempt_for_urgent(timestamp now, output& out)
{
    std::uint32_t preemptions_needed = m_queue.count(service_class::safety) + m_queue.count(service_class::interactive);
    // Until the held slots are known, calls wait for the reports and not for a slot.
    if (preemptions_needed == 0 || m_recovery.grantable_share(now) < 1 ||
        classes_with_headroom(now)[index_of(service_class::interactive)]) {
        return;
    }
    m_slots.for_each([&](const slot_record& slot) {
        const bool leaving = slot.preempted.count() > 0 && now - slot.preempted < preempt_retry_interval;
        preemptions_needed -= leaving && preemptions_needed > 0 ? 1 : 0;
    });
    for (; preemptions_needed > 0; --preemptions_needed) {
        auto* slot = youngest_bulk();
        if (slot == nullptr) {
            return;
        }
        request_preemption(*slot, now, out);
        ++m_counters.preempted;
    }
}

slot_record* slot_dispatcher::youngest_bulk()
{
    slot_record* youngest = nullptr;
    m_slots.for_each([&](slot_record& slot) {
        const bool candidate = slot.priority == service_class::bulk && slot.preempted.count() == 0;
        if (candidate && (youngest == nullptr || slot.granted >= youngest->granted)) {
            youngest = &slot;
        }
    });
    return youngest;
}

void slot_dispatcher::request_preemption(slot_record& slot, timestamp now, output& out)
{
    slot.preempted = now;
    out.push_back({slot.holder, slot_preempt{slot.slot}});
}

double slot_dispatcher::step_us(const target_stats& target, timestamp now) const
{
    const auto& latency = target.latency;
    const double us = m_settings.detect_slow ? latency.recent_step_us(now) : latency.baseline_step_us();
    return us > 0 ? us : m_mean_step_us;
}

double slot_dispatcher::prefill_us(const target_stats& target) const
{
    return target.latency.prefill_us() > 0 ? target.latency.prefill_us() : m_mean_prefill_us;
}

void slot_dispatcher::update_means()
{
    double step = 0;
    double prefill = 0;
    double steps = 0;
    double prefills = 0;
    for (const auto& target : m_targets) {
        step += target.latency.baseline_step_us();
        steps += target.latency.baseline_step_us() > 0 ? 1 : 0;
        prefill += target.latency.prefill_us();
        prefills += target.latency.prefill_us() > 0 ? 1 : 0;
    }
    m_mean_step_us = steps > 0 ? step / steps : m_mean_step_us;
    m_mean_prefill_us = prefills > 0 ? prefill / prefills : m_mean_prefill_us;
}

std::optional<std::size_t> slot_dispatcher::find_target(std::string_view id) const
{
    const auto it = std::ranges::find_if(m_targets, [&](const target_stats& t) { return t.info.id == id; });
    if (it == m_targets.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(it - m_targets.begin());
}

} // namespace lagoonferry
