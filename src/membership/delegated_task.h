#pragma once

#include "membership/member.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// A task that a few members do on behalf of all, to save calls to the platform.
enum class delegated_task { poll_instances, watch_documents, relay_changes };

/// Returns the ids of the members that do a task: at most `per_domain` of each failure domain, chosen by rendezvous
/// hashing, ordered by failure domain. `members` are the alive members that are not presumed down. While members have
/// different views, a failure domain may have more delegates than that, but never none. Thread-safe.
std::vector<std::string> delegates(delegated_task task, std::span<const member> members, std::size_t per_domain = 1);

/// Returns whether the member `id` does the task. Thread-safe.
bool is_delegate(delegated_task task, std::span<const member> members, std::string_view id, std::size_t per_domain = 1);

} // namespace lagoonferry
