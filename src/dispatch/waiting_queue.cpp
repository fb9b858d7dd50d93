#include "dispatch/waiting_queue.h"

#include <algorithm>
#include <numeric>

namespace lagoonferry {

namespace {

/// Three times the maximum interval at which a holder retransmits a waiting acquire (`slot_holder`).
constexpr timestamp silence_timeout = std::chrono::milliseconds(2'400);

/// A holder that is silent for this time counts as dead. If it is alive, its next retransmission adds the call again.
constexpr timestamp dead_holder_timeout = std::chrono::seconds(60);

auto same_request(std::string_view holder, std::uint64_t request)
{
    return [holder, request](const waiting_call& call) {
        return call.acquire.request == request && call.acquire.holder == holder;
    };
}

} // namespace

void waiting_queue::push(waiting_call call)
{
    const auto c = index_of(call.acquire.priority);
    ++m_count_by_class.at(c);
    update_last_seen(call.acquire.holder, call.arrived);
    m_calls.push_back(std::move(call));
}

bool waiting_queue::contains(std::string_view holder, std::uint64_t request) const
{
    return std::ranges::any_of(m_calls, same_request(holder, request));
}

bool waiting_queue::remove(std::string_view holder, std::uint64_t request)
{
    const auto it = std::ranges::find_if(m_calls, same_request(holder, request));
    if (it == m_calls.end()) {
        return false;
    }
    take(static_cast<std::size_t>(it - m_calls.begin()));
    return true;
}

waiting_call waiting_queue::take(std::size_t index)
{
    waiting_call call = std::move(m_calls.at(index));
    --m_count_by_class.at(index_of(call.acquire.priority));
    if (index + 1 != m_calls.size()) {
        m_calls[index] = std::move(m_calls.back());
    }
    m_calls.pop_back();
    return call;
}

void waiting_queue::update_last_seen(std::string_view holder, timestamp now)
{
    const auto it = m_last_seen.find(holder);
    if (it != m_last_seen.end()) {
        it->second = now;
    }
    else {
        m_last_seen.emplace(holder, now);
    }
}

bool waiting_queue::is_silent(std::string_view holder, timestamp now) const
{
    const auto it = m_last_seen.find(holder);
    return it == m_last_seen.end() || now - it->second > silence_timeout;
}

std::size_t waiting_queue::remove_dead_holders(timestamp now)
{
    const auto gone = [now](const auto& item) { return now - item.second > dead_holder_timeout; };
    if (std::erase_if(m_last_seen, gone) == 0) {
        return 0;
    }
    const std::size_t before = m_calls.size();
    for (std::size_t n = m_calls.size(); n-- > 0;) {
        if (!m_last_seen.contains(m_calls[n].acquire.holder)) {
            take(n);
        }
    }
    return before - m_calls.size();
}

const std::vector<std::size_t>& waiting_queue::sorted(const queue_order& order, const account_usage& usage,
                                                      timestamp now)
{
    m_ranks.resize(m_calls.size());
    std::ranges::transform(m_calls, m_ranks.begin(),
                           [&](const waiting_call& call) { return order.rank(call, usage, now); });
    m_sorted.resize(m_calls.size());
    std::iota(m_sorted.begin(), m_sorted.end(), std::size_t{0});
    std::ranges::sort(m_sorted, [&](std::size_t a, std::size_t b) {
        if (m_ranks[a] != m_ranks[b]) {
            return m_ranks[a] < m_ranks[b];
        }
        return m_calls[a].sequence < m_calls[b].sequence;
    });
    if (std::ranges::any_of(m_last_seen, [&](const auto& item) { return now - item.second > silence_timeout; })) {
        std::ranges::stable_partition(m_sorted,
                                      [&](std::size_t n) { return !is_silent(m_calls[n].acquire.holder, now); });
    }
    return m_sorted;
}

} // namespace lagoonferry
