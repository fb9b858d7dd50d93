#pragma once

#include "util/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonferry {

/// Requests that were granted to this gateway ahead of their arrival, and the number that is worth asking for. Not
/// thread-safe.
class prepaid_requests {
public:
    /// Unused requests are returned after this time: used later, they would count in another window.
    static constexpr timestamp lifetime = std::chrono::milliseconds(250);

    struct grant {
        std::uint32_t count = 0;
        std::string granter;
        timestamp expires{};
    };

    /// Counts an arriving request and, if it may use one, takes a prepaid one for it. Returns the gateway that granted
    /// it, if there is one.
    std::optional<std::string> take(std::string_view account, bool may_use, timestamp now);

    /// Returns how many requests of the account are expected in a lifetime; at least 1.
    std::uint32_t expected(std::string_view account) const;

    /// Adds requests to those of the account. What is left of another granter's is returned to `unused`.
    void add(const std::string& account, grant added, const std::function<void(const grant&)>& unused);

    /// Removes expired grants and passes what is left of them to `unused`.
    void expire(timestamp now, const std::function<void(const std::string& account, const grant&)>& unused);

    /// Returns when the next grant expires.
    std::optional<timestamp> next_expiry() const;

private:
    struct account_state {
        grant held;
        timestamp slot_start{};
        std::uint32_t arrived = 0;  ///< since `slot_start`
        std::uint32_t expected = 0; ///< arrivals of the slot before
    };

    std::map<std::string, account_state, std::less<>> m_accounts;
};

} // namespace lagoonferry
