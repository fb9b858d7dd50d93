#pragma once

#include "membership/member.h"
#include "util/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// The response to GET /v1/where.
struct address_response {
    std::vector<std::string> addresses; ///< IP address and HTTP port, the preferred one first
    std::chrono::milliseconds ttl{};    ///< how long the caller may cache the response
};

/// Orders entry addresses for callers by weighted rendezvous hashing. An instance's weight falls in steps as its load
/// rises, with hysteresis, so that a small change of load moves no caller. Not thread-safe.
class address_lookup {
public:
    explicit address_lookup(std::chrono::milliseconds ttl);

    /// Replaces the entry instances. Only alive ones appear in responses.
    void update(std::span<const member> entries);

    /// Returns at most `limit` addresses for an account. `caller` identifies one caller of the account, so that the
    /// callers of one account use different instances. It may be empty.
    address_response order(std::string_view account, std::string_view caller, std::size_t limit) const;

private:
    struct candidate {
        std::string address;
        std::uint64_t hash = 0;
        double weight = 1;
    };

    double weight_of(const member& item);

    std::chrono::milliseconds m_ttl;
    std::map<std::string, std::uint32_t> m_load_steps;
    std::vector<candidate> m_candidates;
};

} // namespace lagoonferry
