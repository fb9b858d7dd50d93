#include "util/bounded_json.h"

#include <algorithm>

namespace lagoonferry {

namespace {

/// Returns whether brackets outside of strings are nested deeper than `max_depth`.
bool nested_deeper_than(std::string_view text, std::size_t max_depth)
{
    std::size_t depth = 0;
    bool in_string = false;
    bool escaped = false;
    return std::ranges::any_of(text, [&](char c) {
        if (in_string) {
            in_string = escaped || c != '"';
            escaped = !escaped && c == '\\';
            return false;
        }
        in_string = c == '"';
        depth += c == '[' || c == '{' ? 1U : 0U;
        depth -= (c == ']' || c == '}') && depth > 0 ? 1U : 0U;
        return depth > max_depth;
    });
}

} // namespace

nlohmann::json parse_bounded_json(std::string_view text, std::size_t max_depth)
{
    return nested_deeper_than(text, max_depth) ? nlohmann::json(nlohmann::json::value_t::discarded)
                                               : nlohmann::json::parse(text, nullptr, false);
}

} // namespace lagoonferry
