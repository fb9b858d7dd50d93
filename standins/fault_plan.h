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

/// The faults switched on for a stand-in: rules with the newest first; the first matching rule decides. Thread-safe.
class fault_plan {
public:
    /// Adds the rule of a `POST /faults` body: the members of `fault` (`slow_ms` and `lag_ms` in milliseconds), and
    /// optionally `method`, `path` (a prefix) and `count` (the next n matching calls). A rule without `count` replaces
    /// older rules for the same method and path. Throws nlohmann::json::exception for a member of a wrong type and
    /// std::invalid_argument for an unknown one or a factor that is not positive.
    void add(const nlohmann::json& body);

    /// Removes all rules and lets hanging calls go on.
    void clear();

    /// Sets what is called after each change of the rules. Call before other threads use the object.
    void on_change(std::function<void()> notify) { m_on_change = std::move(notify); }

    /// Lets hanging and delayed calls go on, now and later.
    void stop();

    /// Returns the fault of one call and uses up one of its rule's count.
    fault take(const std::string& method, const std::string& path);

    /// Returns the number of rules that still apply to further calls.
    std::size_t size() const;

    /// Returns the fault of the newest rule without method, path and count, for behaviour outside of calls.
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
        std::uint32_t remaining = unlimited; ///< further calls that it applies to
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
