#include "routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace lagoonferry {

namespace {

std::string lower(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(), [](unsigned char c) { return std::tolower(c); });
    return result;
}

} // namespace

route_table::route_table(routing_document document) : m_document(std::move(document)), m_accounts(m_document.accounts)
{
    for (std::size_t n = 0; n < m_document.accounts.size(); ++n) {
        m_document.accounts[n].keys = {}; // only their hashes are needed from now on
        m_by_account_name.emplace(m_document.accounts[n].name, n);
    }
    for (std::size_t n = 0; n < m_document.routes.size(); ++n) {
        m_by_host.emplace(lower(m_document.routes[n].host), n);
    }
}

const route* route_table::match(std::string_view host, std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    const auto [first, last] = m_by_host.equal_range(lower(host.substr(0, host.find(':'))));
    const route* best = nullptr;
    for (auto it = first; it != last; ++it) {
        const route& item = m_document.routes[it->second];
        if (path.starts_with(item.path_prefix) &&
            (best == nullptr || item.path_prefix.size() > best->path_prefix.size())) {
            best = &item;
        }
    }
    return best;
}

const client_account* route_table::account_of(std::string_view key) const
{
    const std::size_t position = m_accounts.find(key);
    return position == account_table::npos ? nullptr : &m_document.accounts[position];
}

const client_account* route_table::account_named(std::string_view name) const
{
    const auto it = m_by_account_name.find(name);
    return it == m_by_account_name.end() ? nullptr : &m_document.accounts[it->second];
}

const target_service* route_table::service(std::string_view name) const
{
    const auto it = std::ranges::find(m_document.services, name, &target_service::name);
    return it == m_document.services.end() ? nullptr : &*it;
}

std::string_view choose_service(const route& from, std::uint64_t key_hash)
{
    const double total = std::accumulate(from.services.begin(), from.services.end(), 0.0,
                                         [](double sum, const service_share& item) { return sum + item.weight; });
    constexpr double hash_range = 18446744073709551616.0; // 2^64
    double point = static_cast<double>(key_hash) / hash_range * total;
    for (const service_share& item : from.services) {
        if (item.weight > 0 && point < item.weight) {
            return item.service;
        }
        point -= item.weight;
    }
    return from.services.empty() || total <= 0 ? std::string_view{} : from.services.back().service;
}

} // namespace lagoonferry
