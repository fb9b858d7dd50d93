#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonferry {

/// What may be repeated on a route.
enum class retry_rule {
    idempotent,     ///< may run any number of times
    non_idempotent, ///< may run at most once
    event_stream,   ///< a stream of events; idempotent only where the route allows resumption
};

/// A service that gets a share of a route's requests.
struct service_share {
    std::string service;
    double weight = 1;
};

/// A set of requests, chosen by host and path, and how they are handled.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    retry_rule rule = retry_rule::non_idempotent;
    std::chrono::milliseconds timeout{0};              ///< longest time in which a caller is kept waiting
    std::chrono::milliseconds first_byte_objective{0}; ///< time to the first byte that still counts as on time
    std::chrono::milliseconds event_gap_objective{0};  ///< longest pause between events that still counts as on time
    std::uint32_t rank = 0;                            ///< 0 is the most urgent
    std::vector<service_share> services;
    std::uint32_t max_targets = 2; ///< targets at which one request may run
    bool affinity = false;         ///< targets work faster on what they have handled before
    bool resumable = false;        ///< a stream may be continued behind an event

    bool retryable() const { return rule == retry_rule::idempotent || (rule == retry_rule::event_stream && resumable); }
};

/// A group of equal targets.
struct target_service {
    std::string name;
    std::uint32_t max_connections = 0;     ///< that one target takes from all callers; 0: no limit known
    std::uint32_t tokens_per_event = 1;    ///< by which events of a stream are counted against a budget
    std::uint64_t prompt_cache_tokens = 0; ///< tokens that one target keeps; 0: no model engine
};

/// What a caller may send and how long it may take.
struct caller_limits {
    std::uint32_t max_header_bytes = 16'384;
    std::uint64_t max_body_bytes = 4'194'304;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// The whole routing configuration. Versions only rise.
struct routing_document {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<target_service> services;
    caller_limits limits;
};

} // namespace lagoonferry
