#pragma once

#include "routing/routing_document.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lagoonferry {

/// Finds the route of a request in one routing document. Immutable, so thread-safe.
class route_table {
public:
    explicit route_table(routing_document document);

    /// Returns the route of `host` with the longest prefix of `path`, or nullptr. A port behind the host and the query
    /// behind the path are ignored, and the host's case too.
    const route* match(std::string_view host, std::string_view path) const;

    /// Returns a service of the document, or nullptr.
    const target_service* service(std::string_view name) const;

    const routing_document& document() const { return m_document; }

private:
    routing_document m_document;
    std::multimap<std::string, std::size_t, std::less<>> m_by_host;
};

/// Returns the service that gets a request, in proportion to the weights. Equal keys get equal services, so that the
/// turns of a program stay together. Empty if the route has no service with a positive weight. Thread-safe.
std::string_view choose_service(const route& from, std::uint64_t key_hash);

} // namespace lagoonferry
