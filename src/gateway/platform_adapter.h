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

/// Endpoints that a gateway serves itself.
enum class local_endpoint { none, readiness, lookup, metrics };

/// Values that the gateway sets in the header of a forwarded request.
struct forward_options {
    std::chrono::milliseconds time_left{0};
    std::string_view target_id;
    std::optional<std::uint64_t> resume_after; ///< the last event that was received
    std::optional<unsigned> priority;          ///< 0 to 9; 0 is the most urgent
    /// Name of the client account; empty on a public route without one. If set, the caller's credentials and the name
    /// that it claims are not forwarded.
    std::optional<std::string_view> account = std::nullopt;
    bool from_start = false; ///< without `resume_after`: the target sends all events, whatever the caller asked for
};

/// Keys in the store: entries of the operator, of targets and of the gateway.
struct store_layout {
    std::string targets;          ///< prefix
    std::string operator_prefix;  ///< prefix of all keys that the operator writes
    std::string routing_document; ///< key
    std::string retire_orders;    ///< prefix of orders to retire a machine, before its name
    std::string retire_statuses;  ///< prefix of their acknowledgements, before its name
};

/// Translates between the header names, formats and store calls of a platform and the types of the gateway.
/// Implementations make no decisions and have no state, so they are thread-safe.
class platform_adapter {
public:
    platform_adapter() = default;
    platform_adapter(const platform_adapter&) = delete;
    platform_adapter& operator=(const platform_adapter&) = delete;
    virtual ~platform_adapter() = default;

    /// Parses the header of a caller's request.
    virtual call_metadata read_call(const http_fields& fields) const = 0;

    /// Sets the header of the request to a target from the caller's. Hop-by-hop fields, and fields that only the
    /// gateway may set, are not copied.
    virtual void write_forward_fields(http_fields& out, const http_fields& from,
                                      const forward_options& options) const = 0;

    /// Parses the header of a target's response.
    virtual response_metadata read_response(const http_fields& fields) const = 0;

    /// Sets the header of the response to a caller from the target's.
    virtual void write_response_fields(http_fields& out, const http_fields& from) const = 0;

    /// Sets the request id in a response that the gateway generates itself.
    virtual void write_local_response_fields(http_fields& out, const call_metadata& call) const = 0;

    /// Returns the gateway's own endpoint that a request addresses, or `none`.
    virtual local_endpoint local_endpoint_of(std::string_view method, std::string_view target) const = 0;

    /// Returns the caller's failure domain in an address lookup, or an empty string if the request names none.
    virtual std::string caller_domain(std::string_view target) const = 0;

    /// Returns the host name that an address lookup asks for, or an empty string.
    virtual std::string caller_host(std::string_view target) const = 0;

    /// Returns the body of the response to an address lookup.
    virtual std::string lookup_body(std::span<const std::string> addresses, std::chrono::milliseconds ttl) const = 0;

    /// Parses a target's entry. Returns nothing, and sets `reason`, if it names no usable target.
    virtual std::optional<target_record> read_target(std::string_view key, std::string_view value,
                                                     failure& reason) const = 0;

    /// Parses the routing document. Returns nothing, and sets `reason`, if it is invalid.
    virtual std::optional<routing_document> read_routing(std::string_view value, failure& reason) const = 0;

    /// Returns the value that acknowledges an order to retire a machine.
    virtual std::string retired_status() const = 0;

    virtual const store_layout& layout() const = 0;

    // Requests to the store.
    virtual http_request read_range(std::string_view prefix, std::string_view after_key, bool may_be_stale) const = 0;
    virtual http_request read_key(std::string_view key) const = 0;
    virtual http_request watch(std::string_view prefix, std::uint64_t after, std::chrono::milliseconds wait) const = 0;
    virtual http_request write(std::span<const store_condition> conditions,
                               std::span<const store_item> items) const = 0;

    virtual http_request open_lease(std::chrono::milliseconds ttl) const = 0;

    /// Parses the response of the store. The status of an invalid response is `unknown`.
    virtual store_reply read_reply(unsigned status, std::string_view body) const = 0;
};

} // namespace lagoonferry
