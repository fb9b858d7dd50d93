#include "accounts/account_turn_id.h"

namespace lagoonferry {

std::string account_turn_id(std::string_view account, std::string_view request_id)
{
    std::string id;
    for (const char c : account) {
        id += c == '/' ? "%2F" : c == '%' ? "%25" : std::string(1, c);
    }
    return id.append("/").append(request_id);
}

std::string_view request_id_of(std::string_view turn_id)
{
    const std::size_t slash = turn_id.find('/');
    return slash == std::string_view::npos ? turn_id : turn_id.substr(slash + 1);
}

} // namespace lagoonferry
