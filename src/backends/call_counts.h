#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lagoonferry {

/// How one call to a platform service or target ended.
enum class call_end {
    answered, ///< a complete response arrived, whatever its HTTP status
    not_sent, ///< no connection was established: the call had no effect
    no_reply, ///< sent at least in part, without a complete response: the call may have had its effect
};

/// Returns "answered", "not_sent" or "no_reply". Thread-safe.
std::string_view to_string(call_end end);

/// Kinds of calls, as distinguished by metrics.
enum class call_kind {
    kv_read,
    kv_write,
    kv_list,
    kv_watch,
    kv_lease,
    engine_stream,
    engine_cancel,
    engine_release,
    engine_report,
    engine_order,
    engine_transfer,
    tool_call,
    instance_list,
    weight_read,
};

inline constexpr std::size_t call_kind_count = 14;
inline constexpr std::size_t call_end_count = 3;

/// Returns the name of a kind as metrics show it, such as "kv_read". Thread-safe.
std::string_view to_string(call_kind kind);

/// Counts calls by kind and end. The clients of one process may share an object. Thread-safe.
class call_counts {
public:
    /// Counts one call. A cut stream is counted as `no_reply`.
    void add(call_kind kind, call_end end);

    /// Returns the number of calls of `kind` that ended with `end` since the start.
    std::uint64_t count(call_kind kind, call_end end) const;

private:
    std::array<std::array<std::atomic<std::uint64_t>, call_end_count>, call_kind_count> m_counts{};
};

} // namespace lagoonferry
