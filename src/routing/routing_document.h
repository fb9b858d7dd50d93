#pragma once

#include "accounts/client_account.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonferry {

/// Whether requests of a route may be retried.
enum class retry_rule {
    idempotent,     ///< may run any number of times
    non_idempotent, ///< may run at most once
    event_stream,   ///< the response is an event stream; idempotent only if the route is resumable
};

/// A service and its share of a route's requests.
struct service_share {
    std::string service;
    double weight = 1;
};

/// A set of requests, selected by host and path prefix, and how they are handled.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    retry_rule rule = retry_rule::non_idempotent;
    std::chrono::milliseconds timeout{0};              ///< maximum time for a request, whatever its deadline
    std::chrono::milliseconds first_byte_objective{0}; ///< objective for the time to the first byte
    std::chrono::milliseconds event_gap_objective{0};  ///< objective for the time between two events of a stream
    std::uint32_t rank = 0;                            ///< 0 is the most urgent
    std::vector<service_share> services;
    std::uint32_t max_targets = 2; ///< maximum number of targets that one request may be sent to
    bool is_public = false;        ///< requests need no API key
    bool affinity = false;         ///< targets are faster for sessions that they have served before
    bool resumable = false;        ///< a stream may be resumed after an event
    bool keeps_history = false;    ///< requests carry only their new input and name the turn that they continue
    std::chrono::milliseconds history_retention{0}; ///< how long a turn may be continued after its response

    bool retryable() const { return rule == retry_rule::idempotent || (rule == retry_rule::event_stream && resumable); }
};

/// A service that is provided by a group of equivalent targets.
struct target_service {
    std::string name;
    std::uint32_t max_connections = 0;     ///< connections that one target accepts from all callers; 0: unknown
    std::uint32_t tokens_per_event = 1;    ///< tokens charged to a budget for each event of a stream
    std::uint64_t prompt_cache_tokens = 0; ///< capacity of a target's prefix cache in tokens; 0: not a model engine
};

/// Limits for the requests of callers.
struct caller_limits {
    std::uint32_t max_header_bytes = 16'384;
    std::uint64_t max_body_bytes = 4'194'304;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// The complete routing configuration. The version increases with each change.
struct routing_document {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<target_service> services;
    std::vector<client_account> accounts; ///< if there are any, requests carry an API key
    caller_limits limits;
};

} // namespace lagoonferry
