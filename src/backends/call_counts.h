#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lagoonferry {

/// What is known about one call to a platform service or target.
enum class call_end {
    answered, ///< a complete reply arrived, whatever its HTTP status
    not_sent, ///< no connection could be made: the call certainly had no effect
    no_reply, ///< sent at least in part, without a complete reply: the call may have had its effect
};

/// Returns "answered", "not_sent" or "no_reply". Thread-safe.
std::string_view to_string(call_end end);

/// The calls that metrics distinguish.
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

/// Counts calls by kind and end. Every platform client adds to the object that it was given; thread-safe.
class call_counts {
public:
    /// Adds one call. A cut stream counts as `no_reply`.
    void add(call_kind kind, call_end end);

    /// Returns the calls of `kind` that ended with `end` since the start.
    std::uint64_t count(call_kind kind, call_end end) const;

private:
    std::array<std::array<std::atomic<std::uint64_t>, call_end_count>, call_kind_count> m_counts{};
};

} // namespace lagoonferry
