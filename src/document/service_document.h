#pragma once

#include "util/service_class.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonferry {

/// A client account of the service. Callers authenticate with a key; only its BLAKE2b digest (hex) is stored.
struct account {
    std::string name;
    std::string key_digest;
    std::uint32_t weight = 1;       ///< relative share of the account under contention
    std::uint32_t max_programs = 1; ///< programs that may be open at the same time
    std::vector<service_class> classes;

    bool operator==(const account&) const = default;
};

enum class target_kind { engine, tool, service };

/// Returns "engine", "tool" or "service". Thread-safe.
std::string_view to_string(target_kind kind);

/// Speed of a target's hardware, relative to other targets of its model.
enum class speed_class { fast, medium, slow };

/// Returns "fast", "medium" or "slow". Thread-safe.
std::string_view to_string(speed_class speed);

/// A back end that receives calls.
struct target {
    std::string id;
    std::string address; ///< IP address and port
    std::string failure_domain;
    target_kind kind = target_kind::engine;
    bool checks_fence = false; ///< rejects an order or call with a stale fencing token
    speed_class speed = speed_class::medium;

    bool operator==(const target&) const = default;
};

struct model {
    std::string name;
    std::vector<target> targets;

    bool operator==(const model&) const = default;
};

/// A tool or a plain service. Calls to one that is not idempotent are never retried, so its `retries` is 0.
struct tool {
    std::string name;
    std::vector<target> targets;
    bool idempotent = false;
    std::uint32_t deadline_ms = 0;
    std::uint32_t retries = 0;

    bool operator==(const tool&) const = default;
};

/// Latency objectives of a class.
struct class_settings {
    std::uint32_t first_token_ms = 0;
    std::uint32_t between_tokens_ms = 0;
    std::uint32_t program_ms = 0; ///< for the whole program

    bool operator==(const class_settings&) const = default;
};

/// The priority of a class in dispatchers and engines.
struct class_priority {
    std::uint32_t engine_priority = 0;  ///< value of X-Priority in requests to engines: 0 first, 3 last
    std::uint32_t headroom_percent = 0; ///< percentage of each target's slots that lower classes leave free

    bool operator==(const class_priority&) const = default;
};

/// Limits of one program. A caller may request lower ones.
struct budget_limits {
    std::uint64_t tokens = 0;
    std::uint64_t calls = 0;
    std::uint64_t money_micro = 0;
    std::uint32_t mark_share_percent = 25; ///< step of the durable high-water mark, in percent of the budget

    bool operator==(const budget_limits&) const = default;
};

/// The service-level objective of a class for the burn report: the percentage of good events in a time window.
struct objective {
    double good_percent = 99.0;
    std::uint32_t window_days = 28;

    bool operator==(const objective&) const = default;
};

/// The configuration of one team's service. Arrays over classes are indexed by `service_class`.
struct service_document {
    std::string service;
    std::string owner_team;
    std::vector<account> accounts;
    std::vector<model> models;
    std::vector<tool> tools;
    std::array<class_settings, class_count> classes;
    std::array<class_priority, class_count> priorities;
    budget_limits budgets;
    std::array<objective, class_count> objectives;

    bool operator==(const service_document&) const = default;
};

/// Return the account with this name or key digest, or null. Thread-safe.
const account* find_account(const service_document& document, std::string_view name);
const account* find_account_by_digest(const service_document& document, std::string_view key_digest);

/// Return the model or tool with this name, or null. Thread-safe.
const model* find_model(const service_document& document, std::string_view name);
const tool* find_tool(const service_document& document, std::string_view name);

} // namespace lagoonferry
