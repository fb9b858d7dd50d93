#pragma once

#include "fault.h"

#include <nlohmann/json_fwd.hpp>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <mutex>
#include <string>
#include <utility>

namespace lagoonferry::standin {

/// The active fault rules of a stand-in. The newest rule that matches a call applies. Thread-safe.
class fault_plan {
public:
    /// Adds the rule in the body of a `POST /faults` request. The body holds members of `fault` (`slow` and `lag` as
    /// `slow_ms` and `lag_ms`, in milliseconds), and optionally `method`, `path` (a prefix) and `count` (number of
    /// matching calls to which the rule applies). A rule without `count` replaces all rules for the same method and
    /// path. Throws nlohmann::json::exception for a member of the wrong type, and std::invalid_argument for an unknown
    /// member or a `slow_factor` that is not positive.
    void add(const nlohmann::json& body);

    /// Removes all rules and resumes hanging calls.
    void clear();

    /// Sets the callback that runs after each change of the rules. Call before other threads use the object.
    void on_change(std::function<void()> notify) { m_on_change = std::move(notify); }

    /// Resumes hanging and delayed calls. Later calls neither hang nor wait.
    void stop();

    /// Returns the fault of one call and decrements the remaining count of its rule.
    fault take(const std::string& method, const std::string& path);

    /// Returns the number of active rules.
    std::size_t size() const;

    /// Returns the fault of the newest rule without method, path and count. It applies to behaviour outside of calls,
    /// such as reports.
    fault global_fault() const;

    /// Waits until `clear` or `stop`.
    void wait_until_cleared();

    /// Waits for `delay`, or until `stop`.
    void wait_for(std::chrono::milliseconds delay);

private:
    static constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();

    struct rule {
        fault effect;
        std::string method;
        std::string path;
        std::uint32_t remaining = unlimited; ///< number of calls to which the rule still applies
    };

    void notify_change() const;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::function<void()> m_on_change;
    std::list<rule> m_rules;
    std::uint64_t m_clear_count = 0;
    bool m_stopped = false;
};

} // namespace lagoonferry::standin
