#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

/// Limit on the requests of a client account, over all gateways together.
struct request_limit {
    double rate_per_s = 0; ///< 0: no limit
    double burst = 0;      ///< requests beyond the rate at once

    bool unlimited() const { return rate_per_s <= 0; }
    bool operator==(const request_limit&) const = default;
};

/// A customer of the service, as the routing document describes it.
struct client_account {
    std::string name;
    std::vector<std::string> keys;     ///< API keys; empty in a document that is in force
    std::optional<std::uint32_t> rank; ///< urgency of its requests, 0 first; takes precedence over that of the route
    request_limit limit;
};

} // namespace lagoonferry
