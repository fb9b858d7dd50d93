#pragma once

#include "membership/member.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// Work that only a few members do for all, to save calls to the platform.
enum class delegated_task { poll_instances, watch_documents, relay_changes };

/// Returns at most `per_domain` members of each failure domain for a duty, by rendezvous hashing, ordered by failure
/// domain. `members` are the alive members that are not presumed down. Different views for a moment give an extra
/// holder, never none. Thread-safe.
std::vector<std::string> delegates(delegated_task what, std::span<const member> members, std::size_t per_domain = 1);

/// Returns whether `id` holds the duty. Thread-safe.
bool is_delegate(delegated_task what, std::span<const member> members, std::string_view id, std::size_t per_domain = 1);

} // namespace lagoonferry
