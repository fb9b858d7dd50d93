#pragma once

#include <string>
#include <string_view>

namespace lagoonferry {

/// Returns the id under which a turn of a client account is kept: the account's name, a slash and the request id. No
/// two pairs have the same one, because a slash in the name is escaped. Thread-safe.
std::string account_turn_id(std::string_view account, std::string_view request_id);

/// Returns the request id of a kept turn; an id without an account is returned as it is. Thread-safe.
std::string_view request_id_of(std::string_view turn_id);

} // namespace lagoonferry
