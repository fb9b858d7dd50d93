#include "program/is_valid_name.h"

#include "program/history.h"

#include <algorithm>

namespace lagoonferry {

bool is_valid_name(std::string_view text, std::size_t max_bytes)
{
    const auto printable = [](unsigned char c) { return c >= 0x20 && c != 0x7f; };
    return text.size() <= max_bytes && std::ranges::all_of(text, printable) && replace_invalid_utf8(text) == text;
}

} // namespace lagoonferry
