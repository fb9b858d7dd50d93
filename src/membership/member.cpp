#include "membership/member.h"

#include <array>

namespace lagoonferry {

namespace {

constexpr std::array<std::string_view, 3> role_names{"entry", "dispatch", "target"};
constexpr std::array<std::string_view, 3> state_names{"alive", "leaving", "gone"};

} // namespace

std::string_view to_string(member_role role)
{
    return role_names.at(static_cast<std::size_t>(role));
}

std::string_view to_string(member_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

} // namespace lagoonferry
