#include "dispatch/request_class.h"

#include <algorithm>

namespace lagoonferry {

namespace {

constexpr per_class<std::string_view> class_names{"safety", "interactive", "normal", "bulk"};

} // namespace

std::string_view to_string(request_class c)
{
    return class_names.at(index_of(c));
}

std::optional<request_class> class_from_string(std::string_view name)
{
    const auto* it = std::ranges::find(class_names, name);
    if (it == class_names.end()) {
        return std::nullopt;
    }
    return static_cast<request_class>(it - class_names.begin());
}

} // namespace lagoonferry
