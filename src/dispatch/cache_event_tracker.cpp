#include "dispatch/cache_event_tracker.h"

#include "util/rendezvous.h"

#include <algorithm>
#include <limits>

namespace lagoonferry {

namespace {

std::uint32_t clamped(std::uint64_t tokens)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

std::uint64_t cache_event_tracker::resume_position(const std::string& target) const
{
    const auto it = m_targets.find(target);
    return it == m_targets.end() || it->second.last == 0 ? 0 : it->second.last - 1;
}

cache_event_tracker::result cache_event_tracker::apply(const std::string& target, const engine_cache_events& answer)
{
    cache_state& state = m_targets[target];
    result out;
    const std::uint64_t last = state.last;
    const bool known_event = !answer.events.empty() && answer.events.front().sequence == last;
    out.incomplete = last > 0 && !known_event;
    if (answer.events.empty()) {
        state.last = 0;
        return out;
    }
    for (const engine_cache_event& item : answer.events) {
        if (item.sequence <= state.last) {
            continue;
        }
        out.incomplete = out.incomplete || item.sequence != state.last + 1;
        state.last = item.sequence;
        const bool is_cached = item.kind == "stored" || item.kind == "imported";
        const std::uint64_t prefix = stable_hash(item.program);
        out.events.push_back({target, prefix, is_cached ? clamped(item.tokens) : 0});
        if (is_cached) {
            state.prefixes.insert(prefix);
        }
        else {
            state.prefixes.erase(prefix);
        }
    }
    return out;
}

std::vector<cache_event> cache_event_tracker::resync(const std::string& target, const engine_cache_state& held)
{
    cache_state& state = m_targets[target];
    std::vector<cache_event> out;
    std::set<std::uint64_t> present;
    for (const auto& [program, tokens] : held.programs) {
        const std::uint64_t prefix = stable_hash(program);
        present.insert(prefix);
        out.push_back({target, prefix, clamped(tokens)});
    }
    for (const std::uint64_t prefix : state.prefixes) {
        if (!present.contains(prefix)) {
            out.push_back({target, prefix, 0});
        }
    }
    state.prefixes = std::move(present);
    return out;
}

} // namespace lagoonferry
