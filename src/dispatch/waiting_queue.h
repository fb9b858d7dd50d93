#pragma once

#include "dispatch/queue_order.h"
#include "util/service_class.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lagoonferry {

/// Calls that wait for a slot. Not thread-safe.
class waiting_queue {
public:
    /// Adds a call. Precondition: no call with the same holder and request id is waiting.
    void push(waiting_call call);

    bool contains(std::string_view holder, std::uint64_t request) const;

    /// Removes a waiting call. Returns false if there is none.
    bool remove(std::string_view holder, std::uint64_t request);

    /// Updates the last-seen time of a holder.
    void update_last_seen(std::string_view holder, timestamp now);

    /// Removes the calls of holders that have been silent for a minute. Returns the number of removed calls.
    std::size_t remove_dead_holders(timestamp now);

    /// Removes and returns the call at `index` of `calls()`.
    waiting_call take(std::size_t index);

    /// Ranks all calls and returns their indices, lowest rank first; equal ranks in order of arrival. Calls of silent
    /// holders come last, because a slot that is granted to a dead holder stays unused until it expires. Valid until
    /// the queue changes.
    const std::vector<std::size_t>& sorted(const queue_order& order, const account_usage& usage, timestamp now);

    const std::vector<waiting_call>& calls() const { return m_calls; }
    std::uint32_t count(service_class c) const { return m_count_by_class[index_of(c)]; }

private:
    struct string_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>{}(s); }
    };

    bool is_silent(std::string_view holder, timestamp now) const;

    std::vector<waiting_call> m_calls;
    std::unordered_map<std::string, timestamp, string_hash, std::equal_to<>> m_last_seen; ///< last-seen time by holder
    std::vector<queue_rank> m_ranks;
    std::vector<std::size_t> m_sorted;
    per_class<std::uint32_t> m_count_by_class{};
};

} // namespace lagoonferry
