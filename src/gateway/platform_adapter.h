#pragma once

#include "gateway/call_metadata.h"
#include "gateway/response_metadata.h"
#include "net/http_types.h"
#include "routing/routing_document.h"
#include "routing/target_record.h"
#include "store/store_types.h"
#include "util/failure.h"

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace lagoonferry {

/// Calls that a gateway answers itself.
enum class local_endpoint { none, readiness, lookup, metrics };

/// What the gateway adds to a request that it forwards.
struct forward_options {
    std::chrono::milliseconds time_left{0};
    std::string_view target_id;
    std::optional<std::uint64_t> resume_after; ///< the last event that the caller has
    std::optional<unsigned> priority;          ///< 0 to 9, 0 first
};

/// Where the operator's and the targets' entries lie in the store, and where the gateway writes its own.
struct store_layout {
    std::string targets;          ///< prefix
    std::string operator_prefix;  ///< prefix of all that the operator writes
    std::string routing_document; ///< key
    std::string retire_orders;    ///< prefix of orders to empty a machine, followed by its name
    std::string retire_statuses;  ///< prefix of their acknowledgements
};

/// The names, formats and calls of a platform, translated into the types of the gateway. Implementations decide
/// nothing and keep no state, so they are thread-safe.
class platform_adapter {
public:
    platform_adapter() = default;
    platform_adapter(const platform_adapter&) = delete;
    platform_adapter& operator=(const platform_adapter&) = delete;
    virtual ~platform_adapter() = default;

    /// Reads what a caller says of its request.
    virtual call_metadata read_call(const http_fields& fields) const = 0;

    /// Sets the head of the request to a target from the caller's. Fields that concern one connection, and those that
    /// only the gateway may set, are left out.
    virtual void write_forward_fields(http_fields& out, const http_fields& from,
                                      const forward_options& facts) const = 0;

    /// Reads what a target says in the head of an answer.
    virtual response_metadata read_response(const http_fields& fields) const = 0;

    /// Sets the head of the answer to a caller from the target's.
    virtual void write_response_fields(http_fields& out, const http_fields& from) const = 0;

    /// Sets the request id of an answer that the gateway makes itself.
    virtual void write_local_response_fields(http_fields& out, const call_metadata& call) const = 0;

    /// Returns which of the gateway's own calls a request target is.
    virtual local_endpoint local_endpoint_of(std::string_view method, std::string_view target) const = 0;

    /// Returns the failure domain of a caller that asks where to connect; empty if it does not say.
    virtual std::string caller_domain(std::string_view target) const = 0;

    /// Returns the host name for which a caller asks where to connect, or an empty text.
    virtual std::string caller_host(std::string_view target) const = 0;

    /// Returns the body of the answer to a caller that asks where to connect.
    virtual std::string lookup_body(std::span<const std::string> addresses, std::chrono::milliseconds ttl) const = 0;

    /// Reads a target's entry. Returns nothing and the reason if it names no target to use.
    virtual std::optional<target_record> read_target(std::string_view key, std::string_view value,
                                                     failure& reason) const = 0;

    /// Reads the routing document.
    virtual std::optional<routing_document> read_routing(std::string_view value, failure& reason) const = 0;

    /// Returns the value that acknowledges an order to empty a machine.
    virtual std::string retired_status() const = 0;

    virtual const store_layout& layout() const = 0;

    virtual http_request read_range(std::string_view prefix, std::string_view after_key, bool may_be_stale) const = 0;
    virtual http_request read_key(std::string_view key) const = 0;
    virtual http_request watch(std::string_view prefix, std::uint64_t after, std::chrono::milliseconds wait) const = 0;
    virtual http_request write(std::span<const store_condition> conditions,
                               std::span<const store_item> items) const = 0;

    /// Reads the answer to a call of the store. An answer that cannot be read is `unknown`.
    virtual store_reply read_reply(unsigned status, std::string_view body) const = 0;
};

} // namespace lagoonferry
