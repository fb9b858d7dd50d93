#include "document/service_document.h"

#include <algorithm>

namespace lagoonferry {

namespace {

constexpr std::array<std::string_view, 3> kind_names{"engine", "tool", "service"};
constexpr std::array<std::string_view, 3> speed_names{"fast", "medium", "slow"};

template <class T, class Member>
const T* find_by(const std::vector<T>& items, Member member, std::string_view value)
{
    const auto it = std::ranges::find(items, value, member);
    return it == items.end() ? nullptr : &*it;
}

} // namespace

std::string_view to_string(target_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::string_view to_string(speed_class speed)
{
    return speed_names.at(static_cast<std::size_t>(speed));
}

const account* find_account(const service_document& document, std::string_view name)
{
    return find_by(document.accounts, &account::name, name);
}

const account* find_account_by_digest(const service_document& document, std::string_view key_digest)
{
    return find_by(document.accounts, &account::key_digest, key_digest);
}

const model* find_model(const service_document& document, std::string_view name)
{
    return find_by(document.models, &model::name, name);
}

const tool* find_tool(const service_document& document, std::string_view name)
{
    return find_by(document.tools, &tool::name, name);
}

} // namespace lagoonferry
