#include "report/event_cause.h"

#include <algorithm>

namespace lagoonferry {

namespace {

constexpr std::array<std::string_view, all_event_causes.size()> cause_names{"good", "late_first_token", "late_program",
                                                                            "refused", "unknown_outcome"};

} // namespace

std::string_view to_string(event_cause cause)
{
    return cause_names.at(static_cast<std::size_t>(cause));
}

std::optional<event_cause> parse_event_cause(std::string_view name)
{
    const auto* it = std::ranges::find(cause_names, name);
    if (it == cause_names.end()) {
        return std::nullopt;
    }
    return static_cast<event_cause>(it - cause_names.begin());
}

} // namespace lagoonferry
