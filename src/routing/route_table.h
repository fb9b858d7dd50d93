#pragma once

#include "accounts/account_table.h"
#include "routing/routing_document.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lagoonferry {

/// Looks up the route of a request in a routing document. Immutable, so thread-safe.
class route_table {
public:
    explicit route_table(routing_document document);

    /// Returns the route of `host` with the longest matching prefix of `path`, or nullptr. The port, the query and the
    /// case of the host are ignored.
    const route* match(std::string_view host, std::string_view path) const;

    /// Returns the service with this name, or nullptr.
    const target_service* service(std::string_view name) const;

    /// Returns the client account that holds an API key, or nullptr.
    const client_account* account_of(std::string_view key) const;

    /// Returns the client account with this name, or nullptr.
    const client_account* account_named(std::string_view name) const;

    /// Returns the document, without the API keys of its accounts.
    const routing_document& document() const { return m_document; }

private:
    routing_document m_document;
    account_table m_accounts;
    std::map<std::string, std::size_t, std::less<>> m_by_account_name;
    std::multimap<std::string, std::size_t, std::less<>> m_by_host;
};

/// Chooses the service for a request by its key; the services get requests in proportion to their weights. Equal keys
/// get the same service, so that all turns of a program go to one service. Empty if no service of the route has a
/// positive weight. Thread-safe.
std::string_view choose_service(const route& from, std::uint64_t key_hash);

} // namespace lagoonferry
