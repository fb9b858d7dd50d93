#include "backends/call_counts.h"

namespace lagoonferry {

std::string_view to_string(call_end end)
{
    constexpr std::array<std::string_view, call_end_count> names{"answered", "not_sent", "no_reply"};
    return names.at(static_cast<std::size_t>(end));
}

std::string_view to_string(call_kind kind)
{
    constexpr std::array<std::string_view, call_kind_count> names{
        "kv_read",         "kv_write",      "kv_list",        "kv_watch",      "kv_lease",
        "engine_stream",   "engine_cancel", "engine_release", "engine_report", "engine_order",
        "engine_transfer", "tool_call",     "instance_list",  "weight_read"};
    return names.at(static_cast<std::size_t>(kind));
}

void call_counts::add(call_kind kind, call_end end)
{
    m_counts.at(static_cast<std::size_t>(kind))
        .at(static_cast<std::size_t>(end))
        .fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t call_counts::count(call_kind kind, call_end end) const
{
    return m_counts.at(static_cast<std::size_t>(kind))
        .at(static_cast<std::size_t>(end))
        .load(std::memory_order_relaxed);
}

} // namespace lagoonferry
