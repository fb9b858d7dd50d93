#include "dispatch/slot_holder.h"

#include <algorithm>
#include <utility>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

constexpr timestamp initial_resend_interval = milliseconds(100);
constexpr timestamp max_resend_interval = milliseconds(800);
constexpr timestamp return_resend_interval = milliseconds(200);
// The dispatcher answers each retransmission of a waiting acquire, so a live dispatcher seems silent only after at
// least three lost datagrams.
constexpr timestamp dispatcher_timeout = std::chrono::seconds(1);
constexpr timestamp progress_interval = std::chrono::seconds(1);

// A dispatcher frees the slots of a silent holder by itself, so the retransmissions of a return are limited.
constexpr std::uint32_t max_return_attempts = 20;

// Slots in one `slot_report` datagram; each takes up to 60 bytes.
constexpr std::size_t max_slots_per_part = 16;

} // namespace

std::uint64_t slot_holder::acquire(std::string_view group, slot_acquire acquire_message, timestamp now)
{
    acquire_message.request = m_next_request++;
    acquire_message.holder = m_holder;
    const timestamp expires = acquire_message.deadline.count() > 0 ? now + acquire_message.deadline : timestamp{0};
    const std::uint64_t request = acquire_message.request;
    m_groups.try_emplace(std::string(group));
    m_waiting.emplace(request, waiting_request{std::string(group), std::move(acquire_message), now,
                                               initial_resend_interval, expires});
    return request;
}

void slot_holder::cancel(std::uint64_t request, timestamp now)
{
    const auto it = m_waiting.find(request);
    if (it == m_waiting.end()) {
        return;
    }
    m_returns.push_back({it->second.group, slot_cancel{request, m_holder}, now, 0, {}});
    m_waiting.erase(it);
}

void slot_holder::add_token(std::uint64_t request)
{
    const auto it = m_held.find(request);
    if (it != m_held.end()) {
        ++it->second.tokens;
    }
}

void slot_holder::release(std::uint64_t request, const slot_observation& observation, timestamp now)
{
    const auto it = m_held.find(request);
    if (it == m_held.end()) {
        return;
    }
    const granted_slot& slot = it->second.slot;
    const slot_release message{slot.slot,
                               m_holder,
                               observation.first_token_us,
                               observation.per_token_us,
                               observation.tokens,
                               observation.cached_tokens,
                               observation.failed,
                               observation.preempted};
    m_returns.push_back({slot.group, message, now, 0, {}});
    m_held.erase(it);
}

std::optional<slot_event> slot_holder::handle(std::string_view group, std::string_view from,
                                              const slot_message& message, timestamp now)
{
    const auto state = m_groups.find(group);
    if (state != m_groups.end() && state->second.dispatcher == from) {
        state->second.unanswered_since = timestamp{0};
    }
    if (const auto* m = std::get_if<slot_grant>(&message)) {
        return on_grant(group, from, *m, now);
    }
    if (const auto* m = std::get_if<slot_refuse>(&message)) {
        return on_refuse(*m);
    }
    if (const auto* m = std::get_if<slot_preempt>(&message)) {
        return on_preempt(group, *m);
    }
    if (const auto* m = std::get_if<slot_released>(&message)) {
        on_released(group, *m);
    }
    else if (const auto* query = std::get_if<slot_query>(&message)) {
        on_query(std::string(group), from, *query);
    }
    else if (const auto* epoch = std::get_if<slot_epoch>(&message)) {
        on_epoch(group, from, *epoch);
    }
    return std::nullopt;
}

std::optional<slot_event> slot_holder::on_grant(std::string_view group, std::string_view from, const slot_grant& m,
                                                timestamp now)
{
    const auto held_already = m_held.find(m.request);
    if (held_already != m_held.end() && held_already->second.slot.slot == m.slot) {
        return std::nullopt;
    }
    const auto it = m_waiting.find(m.request);
    if (!accepts(std::string(group), from, m.epoch) || it == m_waiting.end()) {
        return_unwanted(group, from, m.slot, now);
        return std::nullopt;
    }
    held_request held{{std::string(group), m.slot, m.request, m.target}, std::move(it->second.acquire_message), 0};
    m_waiting.erase(it);
    const auto [entry, added] = m_held.emplace(m.request, std::move(held));
    return slot_event{slot_event::kind::granted, m.request, entry->second.slot, {}};
}

/// Returns whether to accept a grant of this dispatcher. Sends the current epoch to a stale dispatcher.
bool slot_holder::accepts(const std::string& group, std::string_view from, std::uint64_t epoch)
{
    group_state& state = m_groups[group];
    if (state.dispatcher.empty()) {
        state.dispatcher = from;
    }
    if (state.dispatcher == from && epoch >= state.epoch) {
        state.epoch = epoch;
        return true;
    }
    if (epoch < state.epoch) {
        m_replies.push_back({group, slot_epoch{state.epoch}, std::string(from)});
    }
    return false;
}

void slot_holder::on_query(const std::string& group, std::string_view from, const slot_query& m)
{
    group_state& state = m_groups[group];
    if (m.epoch >= state.epoch) {
        state.epoch = m.epoch;
        if (state.dispatcher != from) {
            follow(group, state, from);
        }
    }
    // If the followed dispatcher has a lower epoch, it raises its epoch when it receives the report.
    if (state.dispatcher == from) {
        state.report_due = true;
        return;
    }
    m_replies.push_back({group, slot_epoch{state.epoch}, std::string(from)});
}

void slot_holder::on_epoch(std::string_view group, std::string_view from, const slot_epoch& m)
{
    const auto it = m_groups.find(group);
    if (it != m_groups.end() && it->second.dispatcher == from && m.epoch > it->second.epoch) {
        it->second.epoch = m.epoch;
        it->second.report_due = true;
    }
}

void slot_holder::follow(const std::string& group, group_state& state, std::string_view dispatcher)
{
    state.dispatcher = dispatcher;
    state.report_due = true;
    state.unanswered_since = timestamp{0};
    for (auto& [request, item] : m_waiting) {
        if (item.group == group) {
            item.next_send = timestamp{0};
            item.interval = initial_resend_interval;
        }
    }
}

void slot_holder::leave_silent_dispatchers(timestamp now)
{
    for (auto& [group, state] : m_groups) {
        if (state.unanswered_since.count() == 0 || now - state.unanswered_since < dispatcher_timeout ||
            state.dispatchers.size() < 2) {
            continue;
        }
        const auto current = std::ranges::find(state.dispatchers, state.dispatcher);
        const bool last = current == state.dispatchers.end() || current + 1 == state.dispatchers.end();
        follow(group, state, last ? state.dispatchers.front() : *(current + 1));
    }
}

void slot_holder::return_unwanted(std::string_view group, std::string_view from, std::uint64_t slot, timestamp now)
{
    const bool returning = std::ranges::any_of(m_returns, [&](const pending_return& item) {
        const auto* release = std::get_if<slot_release>(&item.message);
        return item.group == group && release != nullptr && release->slot == slot;
    });
    if (!returning) {
        const slot_release message{.slot = slot, .holder = m_holder};
        m_returns.push_back({std::string(group), message, now, 0, std::string(from)});
    }
}

std::optional<slot_event> slot_holder::on_refuse(const slot_refuse& m)
{
    if (m_waiting.erase(m.request) == 0) {
        return std::nullopt;
    }
    return slot_event{slot_event::kind::refused, m.request, {}, m};
}

std::optional<slot_event> slot_holder::on_preempt(std::string_view group, const slot_preempt& m) const
{
    const auto it = std::ranges::find_if(
        m_held, [&](const auto& item) { return item.second.slot.group == group && item.second.slot.slot == m.slot; });
    if (it == m_held.end()) {
        return std::nullopt;
    }
    return slot_event{slot_event::kind::preempted, it->first, it->second.slot, {}};
}

void slot_holder::on_released(std::string_view group, const slot_released& m)
{
    std::erase_if(m_returns, [&](const pending_return& item) {
        if (item.group != group) {
            return false;
        }
        const auto* release = std::get_if<slot_release>(&item.message);
        const auto* cancel = std::get_if<slot_cancel>(&item.message);
        return (release != nullptr && release->slot == m.slot && m.slot != 0) ||
               (cancel != nullptr && cancel->request == m.request && m.request != 0);
    });
}

void slot_holder::set_dispatchers(std::string_view group, std::vector<std::string> dispatchers)
{
    if (dispatchers.empty()) {
        return;
    }
    const std::string name(group);
    group_state& state = m_groups[name];
    const bool new_first = state.dispatchers.empty() || state.dispatchers.front() != dispatchers.front();
    const bool listed = std::ranges::find(dispatchers, state.dispatcher) != dispatchers.end();
    state.dispatchers = std::move(dispatchers);
    // Otherwise the current dispatcher stays even if it is not the first one: it may have replaced a silent one.
    if ((new_first || !listed) && state.dispatcher != state.dispatchers.front()) {
        follow(name, state, state.dispatchers.front());
    }
}

std::string_view slot_holder::dispatcher_of(std::string_view group) const
{
    const auto it = m_groups.find(group);
    return it == m_groups.end() ? std::string_view() : std::string_view(it->second.dispatcher);
}

std::vector<group_message> slot_holder::due(timestamp now)
{
    leave_silent_dispatchers(now);
    std::vector<group_message> out = std::exchange(m_replies, {});
    add_reports(out, now);
    add_returns(out, now);
    add_acquires(out, now);
    for (group_message& item : out) {
        if (item.to.empty()) {
            item.to = dispatcher_of(item.group);
        }
    }
    return out;
}

void slot_holder::add_acquires(std::vector<group_message>& out, timestamp now)
{
    for (auto& [request, item] : m_waiting) {
        if (now < item.next_send) {
            continue;
        }
        if (item.expires.count() > 0) {
            const auto left = std::chrono::duration_cast<milliseconds>(item.expires - now);
            item.acquire_message.deadline = std::max(left, milliseconds(1));
        }
        out.push_back({item.group, item.acquire_message, {}});
        group_state& state = m_groups[item.group];
        state.unanswered_since = state.unanswered_since.count() == 0 ? now : state.unanswered_since;
        item.next_send = now + item.interval;
        item.interval = std::min(item.interval * 2, max_resend_interval);
    }
}

void slot_holder::add_returns(std::vector<group_message>& out, timestamp now)
{
    for (pending_return& item : m_returns) {
        if (now >= item.next_send) {
            out.push_back({item.group, item.message, item.to});
            item.next_send = now + return_resend_interval;
            ++item.sent;
        }
    }
    std::erase_if(m_returns, [](const pending_return& item) { return item.sent >= max_return_attempts; });
}

void slot_holder::add_reports(std::vector<group_message>& out, timestamp now)
{
    for (auto& [group, state] : m_groups) {
        if (state.report_due) {
            add_slot_report(group, state, out);
            state.report_due = false;
        }
        if (now < state.next_progress) {
            continue;
        }
        state.next_progress = now + progress_interval;
        slot_progress progress{m_holder, {}};
        for (const auto& [request, item] : m_held) {
            if (item.slot.group == group) {
                progress.slots.push_back({item.slot.slot, item.tokens});
            }
        }
        if (!progress.slots.empty()) {
            out.push_back({group, std::move(progress), {}});
        }
    }
}

void slot_holder::add_slot_report(const std::string& group, const group_state& state, std::vector<group_message>& out)
{
    std::vector<slot_report> parts{{m_holder, {}, true, state.epoch, m_next_report++, 0, 1}};
    for (const auto& [request, item] : m_held) {
        if (item.slot.group != group) {
            continue;
        }
        if (parts.back().slots.size() == max_slots_per_part) {
            auto next = parts.back();
            next.slots.clear();
            ++next.part;
            parts.push_back(std::move(next));
        }
        parts.back().slots.push_back({item.slot.slot, request, item.slot.target, item.acquire_message.priority,
                                      item.acquire_message.prefix, item.acquire_message.prompt_tokens});
    }
    for (slot_report& part : parts) {
        part.parts = static_cast<std::uint32_t>(parts.size());
        part.complete = parts.size() == 1;
        out.push_back({group, std::move(part), {}});
    }
}

} // namespace lagoonferry
