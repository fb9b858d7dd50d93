#include "fault_plan.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace lagoonferry::standin {

namespace {

constexpr std::array member_names{
    "slow_ms",          "outage",       "hang",         "lose_reply", "lag_ms", "lose_reports", "slow_factor",
    "cut_after_tokens", "ignore_fence", "refuse_fence", "method",     "path",   "count"};

void check_members(const nlohmann::json& body)
{
    for (const auto& [name, value] : body.get<std::map<std::string, nlohmann::json>>()) {
        if (std::ranges::find(member_names, name) == member_names.end()) {
            throw std::invalid_argument("unknown fault \"" + name + "\"");
        }
    }
}

fault read_fault(const nlohmann::json& body)
{
    fault out;
    out.slow = std::chrono::milliseconds(body.value("slow_ms", 0));
    out.outage = body.value("outage", false);
    out.hang = body.value("hang", false);
    out.lose_reply = body.value("lose_reply", false);
    out.cut_after_tokens = body.value("cut_after_tokens", 0U);
    out.lag = std::chrono::milliseconds(body.value("lag_ms", 0));
    out.lose_reports = body.value("lose_reports", false);
    out.slow_factor = body.value("slow_factor", 1.0);
    if (out.slow_factor <= 0) {
        throw std::invalid_argument("slow_factor must be positive");
    }
    out.ignore_fence = body.value("ignore_fence", false);
    out.refuse_fence = body.value("refuse_fence", false);
    return out;
}

} // namespace

void fault_plan::add(const nlohmann::json& body)
{
    check_members(body);
    rule added{read_fault(body), body.value("method", ""), body.value("path", ""), body.value("count", unlimited)};
    {
        const std::lock_guard lock(m_mutex);
        if (added.remaining == unlimited) {
            m_rules.remove_if([&](const rule& it) { return it.method == added.method && it.path == added.path; });
        }
        m_rules.push_front(std::move(added));
    }
    notify_change();
}

void fault_plan::clear()
{
    {
        const std::lock_guard lock(m_mutex);
        m_rules.clear();
        ++m_clear_count;
        m_changed.notify_all();
    }
    notify_change();
}

void fault_plan::notify_change() const
{
    if (m_on_change) {
        m_on_change();
    }
}

void fault_plan::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    m_changed.notify_all();
}

fault fault_plan::take(const std::string& method, const std::string& path)
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::ranges::find_if(m_rules, [&](const rule& it) {
        return (it.method.empty() || it.method == method) && path.starts_with(it.path) && it.remaining != 0;
    });
    if (found == m_rules.end()) {
        return {};
    }
    const fault effect = found->effect;
    if (found->remaining != unlimited && --found->remaining == 0) {
        m_rules.erase(found);
    }
    return effect;
}

std::size_t fault_plan::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_rules.size();
}

fault fault_plan::global_fault() const
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::ranges::find_if(
        m_rules, [](const rule& it) { return it.method.empty() && it.path.empty() && it.remaining == unlimited; });
    return found == m_rules.end() ? fault{} : found->effect;
}

void fault_plan::wait_until_cleared()
{
    std::unique_lock lock(m_mutex);
    const std::uint64_t before = m_clear_count;
    m_changed.wait(lock, [&] { return m_stopped || m_clear_count != before; });
}

void fault_plan::wait_for(std::chrono::milliseconds delay)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, delay, [&] { return m_stopped; });
}

} // namespace lagoonferry::standin
