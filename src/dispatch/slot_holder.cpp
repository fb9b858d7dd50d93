#include "dispatch/slot_holder.h"

#include <algorithm>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

constexpr timestamp first_resend = milliseconds(100);
constexpr timestamp longest_resend = milliseconds(800);
constexpr timestamp return_resend = milliseconds(200);
constexpr timestamp progress_interval = std::chrono::seconds(1);

// A dispatcher that has gone frees the slots of a silent holder itself, so returns are not repeated for ever.
constexpr std::uint32_t return_attempts = 20;

// Slots in one `holding` datagram; each takes up to 60 bytes.
constexpr std::size_t holding_part = 16;

} // namespace

std::uint64_t slot_holder::acquire(std::string_view group, slot_acquire wanted, timestamp now)
{
    wanted.request = m_next_request++;
    wanted.holder = m_holder;
    const timestamp expires = wanted.deadline.count() > 0 ? now + wanted.deadline : timestamp{0};
    const std::uint64_t request = wanted.request;
    m_groups.try_emplace(std::string(group));
    m_waiting.emplace(request, waiting_request{std::string(group), std::move(wanted), now, first_resend, expires});
    return request;
}

void slot_holder::cancel(std::uint64_t request, timestamp now)
{
    const auto it = m_waiting.find(request);
    if (it == m_waiting.end()) {
        return;
    }
    m_returns.push_back({it->second.group, slot_cancel{request, m_holder}, now, 0});
    m_waiting.erase(it);
}

void slot_holder::add_token(std::uint64_t request)
{
    const auto it = m_held.find(request);
    if (it != m_held.end()) {
        ++it->second.tokens;
    }
}

void slot_holder::release(std::uint64_t request, const slot_observation& seen, timestamp now)
{
    const auto it = m_held.find(request);
    if (it == m_held.end()) {
        return;
    }
    const granted_slot& slot = it->second.slot;
    const slot_release message{slot.slot,   m_holder,           seen.first_token_us, seen.per_token_us,
                               seen.tokens, seen.cached_tokens, seen.failed,         seen.preempted};
    m_returns.push_back({slot.group, message, now, 0});
    m_held.erase(it);
}

std::optional<slot_event> slot_holder::handle(std::string_view group, std::string_view from,
                                              const slot_message& message, timestamp now)
{
    if (const auto* m = std::get_if<slot_grant>(&message)) {
        return on_grant(group, *m, now);
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
    else if (std::holds_alternative<slot_query>(message)) {
        group_state& state = m_groups[std::string(group)];
        state.dispatcher = from;
        state.report_due = true;
    }
    return std::nullopt;
}

std::optional<slot_event> slot_holder::on_grant(std::string_view group, const slot_grant& m, timestamp now)
{
    const auto it = m_waiting.find(m.request);
    if (it == m_waiting.end()) {
        const auto held = m_held.find(m.request);
        if (held == m_held.end() || held->second.slot.slot != m.slot) {
            return_unwanted(group, m.slot, now);
        }
        return std::nullopt;
    }
    held_request held{{std::string(group), m.slot, m.request, m.target}, std::move(it->second.wanted), 0};
    m_waiting.erase(it);
    const auto [entry, added] = m_held.emplace(m.request, std::move(held));
    return slot_event{slot_event::kind::granted, m.request, entry->second.slot, {}};
}

void slot_holder::return_unwanted(std::string_view group, std::uint64_t slot, timestamp now)
{
    const bool returning = std::ranges::any_of(m_returns, [&](const pending_return& item) {
        const auto* release = std::get_if<slot_release>(&item.message);
        return item.group == group && release != nullptr && release->slot == slot;
    });
    if (!returning) {
        m_returns.push_back({std::string(group), slot_release{.slot = slot, .holder = m_holder}, now, 0});
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

void slot_holder::set_dispatcher(std::string_view group, std::string_view dispatcher)
{
    group_state& state = m_groups[std::string(group)];
    if (state.dispatcher != dispatcher) {
        state.dispatcher = dispatcher;
        state.report_due = true;
    }
}

std::vector<group_message> slot_holder::due(timestamp now)
{
    std::vector<group_message> out;
    add_reports(out, now);
    add_returns(out, now);
    add_acquires(out, now);
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
            item.wanted.deadline = std::max(left, milliseconds(1));
        }
        out.push_back({item.group, item.wanted});
        item.next_send = now + item.interval;
        item.interval = std::min(item.interval * 2, longest_resend);
    }
}

void slot_holder::add_returns(std::vector<group_message>& out, timestamp now)
{
    for (pending_return& item : m_returns) {
        if (now >= item.next_send) {
            out.push_back({item.group, item.message});
            item.next_send = now + return_resend;
            ++item.sent;
        }
    }
    std::erase_if(m_returns, [](const pending_return& item) { return item.sent >= return_attempts; });
}

void slot_holder::add_reports(std::vector<group_message>& out, timestamp now)
{
    for (auto& [group, state] : m_groups) {
        if (state.report_due) {
            add_holding(group, out);
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
            out.push_back({group, std::move(progress)});
        }
    }
}

void slot_holder::add_holding(const std::string& group, std::vector<group_message>& out) const
{
    slot_holding part{m_holder, {}, false};
    for (const auto& [request, item] : m_held) {
        if (item.slot.group != group) {
            continue;
        }
        if (part.slots.size() == holding_part) {
            out.push_back({group, part});
            part.slots.clear();
        }
        part.slots.push_back({item.slot.slot, request, item.slot.target, item.wanted.priority, item.wanted.prefix,
                              item.wanted.prompt_tokens});
    }
    part.complete = true;
    out.push_back({group, std::move(part)});
}

} // namespace lagoonferry
