#include "fencing_validator.h"

#include <httplib.h>

#include <algorithm>
#include <charconv>

namespace lagoonferry::standin {

bool fencing_validator::admit(const std::optional<fencing_token>& token, const fault& effect)
{
    if (!token || effect.ignore_fence) {
        return true;
    }
    std::uint64_t& highest = m_highest[token->scope];
    if (effect.refuse_fence || token->number < highest) {
        return false;
    }
    highest = std::max(highest, token->number);
    return true;
}

std::optional<fencing_token> read_fencing_token(const httplib::Request& request)
{
    if (!request.has_header("X-Fence")) {
        return std::nullopt;
    }
    const std::string text = request.get_header_value("X-Fence");
    fencing_token token{request.get_header_value("X-Fence-Scope"), 0};
    std::from_chars(text.data(), text.data() + text.size(), token.number);
    return token;
}

} // namespace lagoonferry::standin
