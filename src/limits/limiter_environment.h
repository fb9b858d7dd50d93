#pragma once

#include "accounts/client_account.h"
#include "limits/limit_messages.h"
#include "util/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// What a `request_limiter` knows of its fleet and of the routing document, and how it sends messages.
class limiter_environment {
public:
    limiter_environment() = default;
    virtual ~limiter_environment() = default;
    limiter_environment(const limiter_environment&) = delete;
    limiter_environment& operator=(const limiter_environment&) = delete;

    virtual const std::string& own_id() const = 0;

    /// Returns the first live gateways, ranked for `key` by rendezvous hashing. Its owner is the first one.
    virtual std::vector<std::string> ranked(std::string_view key) const = 0;

    /// Returns the share of all limits that the gateways which this one reaches may grant together. The shares of parts
    /// of the fleet that do not reach each other add up to about 1.
    virtual double reachable_share() const = 0;

    /// Returns the number of known gateways, with those that are not reached. At least 1.
    virtual std::size_t gateway_count() const = 0;

    /// Returns whether this gateway would have the record of `key` if another one had made it.
    virtual bool would_have_record(std::string_view key) const = 0;

    /// Returns since when the set of live gateways has been the same.
    virtual timestamp settled_since() const = 0;

    /// Returns how often this gateway was paused or cut off.
    virtual std::uint64_t rejoins() const = 0;

    /// Returns the limit of an account in the document in force, or nothing for an unknown account.
    virtual std::optional<request_limit> limit_of(std::string_view account) const = 0;

    /// Sends a message to one gateway. It may be lost.
    virtual void send(const std::string& to, const limit_message& message) = 0;
};

} // namespace lagoonferry
