#include "util/service_class.h"

#include <algorithm>

namespace lagoonferry {

namespace {

constexpr std::array<std::string_view, class_count> class_names{"safety", "interactive", "normal", "bulk"};

} // namespace

std::string_view to_string(service_class value)
{
    return class_names.at(static_cast<std::size_t>(value));
}

std::optional<service_class> parse_service_class(std::string_view name)
{
    const auto* it = std::ranges::find(class_names, name);
    if (it == class_names.end()) {
        return std::nullopt;
    }
    return static_cast<service_class>(it - class_names.begin());
}

} // namespace lagoonferry
