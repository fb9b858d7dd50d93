#pragma once

#include "util/service_class.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonferry {

/// A customer of the service. Callers authenticate with a key of which only the BLAKE2b digest (hex) is stored.
struct account {
    std::string name;
    std::string key_digest;
    std::uint32_t weight = 1;       ///< share among accounts under contention
    std::uint32_t max_programs = 1; ///< open programs at one time
    std::vector<service_class> classes;

    bool operator==(const account&) const = default;
};

enum class target_kind { engine, tool, service };

/// Returns "engine", "tool" or "service". Thread-safe.
std::string_view to_string(target_kind kind);

/// How fast the hardware of a target is relative to others of its model.
enum class speed_class { fast, medium, slow };

/// Returns "fast", "medium" or "slow". Thread-safe.
std::string_view to_string(speed_class speed);

/// A back end that receives calls.
struct target {
    std::string id;
    std::string address; ///< IP address and port
    std::string failure_domain;
    target_kind kind = target_kind::engine;
    bool checks_fence = false; ///< refuses an order or call with a stale fencing token
    speed_class speed = speed_class::medium;

    bool operator==(const target&) const = default;
};

struct model {
    std::string name;
    std::vector<target> targets;

    bool operator==(const model&) const = default;
};

/// A tool or a plain service. One that is not idempotent is never sent twice, so its retries are 0.
struct tool {
    std::string name;
    std::vector<target> targets;
    bool idempotent = false;
    std::uint32_t deadline_ms = 0;
    std::uint32_t retries = 0;

    bool operator==(const tool&) const = default;
};

/// Latency targets of a class and its treatment by the dispatchers.
struct class_settings {
    std::uint32_t first_token_ms = 0;
    std::uint32_t between_tokens_ms = 0;
    std::uint32_t program_ms = 0; ///< the whole program

    bool operator==(const class_settings&) const = default;
};

/// How dispatchers and engines treat a class.
struct class_priority {
    std::uint32_t engine_priority = 0;  ///< X-Priority towards engines: 0 first, 3 last
    std::uint32_t headroom_percent = 0; ///< part of each target's slots that lower classes leave free

    bool operator==(const class_priority&) const = default;
};

/// Limits of one program. A caller may ask for less.
struct budget_limits {
    std::uint64_t tokens = 0;
    std::uint64_t calls = 0;
    std::uint64_t money_micro = 0;
    std::uint32_t mark_share_percent = 25; ///< size of a durable "spent at most" step as part of the budget

    bool operator==(const budget_limits&) const = default;
};

/// The share of good events of a class that the burn report measures against.
struct objective {
    double good_percent = 99.0;
    std::uint32_t window_days = 28;

    bool operator==(const objective&) const = default;
};

/// One team's service. Arrays over classes are indexed by service_class.
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

/// Returns the account with this name or key digest, or null. Thread-safe.
const account* find_account(const service_document& document, std::string_view name);
const account* find_account_by_digest(const service_document& document, std::string_view key_digest);

/// Returns the model or tool of a name, or null. Thread-safe.
const model* find_model(const service_document& document, std::string_view name);
const tool* find_tool(const service_document& document, std::string_view name);

} // namespace lagoonferry
