#include "dispatch/waiting_queue.h"

#include <algorithm>
#include <numeric>

namespace lagoonferry {

namespace {

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
    ++m_count.at(c);
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
    --m_count.at(index_of(call.acquire.priority));
    if (index + 1 != m_calls.size()) {
        m_calls[index] = std::move(m_calls.back());
    }
    m_calls.pop_back();
    return call;
}

const std::vector<std::size_t>& waiting_queue::sorted(const queue_order& order, const account_shares& shares,
                                                      timestamp now)
{
    m_ranks.resize(m_calls.size());
    std::ranges::transform(m_calls, m_ranks.begin(),
                           [&](const waiting_call& call) { return order.rank(call, shares, now); });
    m_sorted.resize(m_calls.size());
    std::iota(m_sorted.begin(), m_sorted.end(), std::size_t{0});
    std::ranges::sort(m_sorted, [&](std::size_t a, std::size_t b) {
        if (m_ranks[a] != m_ranks[b]) {
            return m_ranks[a] < m_ranks[b];
        }
        return m_calls[a].sequence < m_calls[b].sequence;
    });
    return m_sorted;
}

} // namespace lagoonferry
