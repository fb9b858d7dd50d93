#pragma once

#include "distribution.h"
#include "util/service_class.h"
#include "virtual_clock.h"

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonferry::bench {

/// Speed and capacity of a fake engine. Step and prefill times are those at speed 1; the engine divides them by
/// `speed`.
struct engine_spec {
    std::string id;
    std::string model;
    std::string failure_domain;
    double speed = 1;
    double step_base_us = 14'000;   ///< fixed part of each step
    double step_per_call_us = 1200; ///< per call that generates a token in the step
    double prefill_us = 50;         ///< per prompt token that is not cached
    std::uint32_t max_batch_size = 24;
    std::uint32_t memory_tokens = 160'000; ///< shared by running calls and cached prefixes
};

/// One call to an engine.
struct engine_call {
    std::uint64_t id = 0;
    service_class priority = service_class::normal;
    std::uint64_t prefix = 0;
    std::uint32_t prompt = 0;
    std::uint32_t output = 0; ///< tokens still to generate
};

/// Event of a call that an engine reports to its listener.
enum class engine_event { started, first_token, done };

/// Fake model engine with continuous batching on a virtual clock. Each step generates one token for every running call,
/// takes longer for larger batches, and computes up to 256 prompt tokens of one call. Cached prefixes are evicted in
/// least recently used order when their memory is needed. Waiting calls start, and prompts are computed, in order of
/// priority, then arrival. Not thread-safe.
class fake_engine {
public:
    using listener = std::function<void(engine_event, std::uint64_t call)>;

    fake_engine(virtual_clock& clock, engine_spec spec, listener on_event);

    void submit(const engine_call& call);

    /// Cancels a call and returns the number of tokens it has generated. Its prefix stays cached. Returns 0 for an
    /// unknown or waiting call, and for a call whose last step is already over: it completes with a `done` event
    /// instead.
    std::uint32_t cancel(std::uint64_t call);

    /// Evicts a cached prefix. Running calls of this prefix keep their memory until they end.
    void drop_prefix(std::uint64_t prefix);

    /// Drops all calls and the cache. The engine ignores later calls.
    void fail();

    /// Changes the model and clears the cache. Precondition: the engine has no calls.
    void change_model(const std::string& model);

    /// Multiplies the duration of every step from now on by `factor`.
    void set_slowdown(double factor);

    /// Returns the tokens that a call has generated so far, or 0 for an unknown call.
    std::uint32_t generated(std::uint64_t call) const;

    /// Returns the prompt tokens of a call that were cached when it started, or 0 for an unknown call.
    std::uint32_t cached(std::uint64_t call) const;

    std::uint32_t cached_prefix(std::uint64_t prefix) const;
    const std::list<std::uint64_t>& cached_prefixes() const { return m_lru_prefixes; }

    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(m_waiting.size()); }
    const engine_spec& spec() const { return m_spec; }
    double slowdown() const { return m_slowdown; }

    /// Sets the histogram that receives step durations, weighted by the number of tokens generated.
    void set_token_gap_histogram(duration_histogram* token_gaps) { m_token_gaps = token_gaps; }

    /// Called when the cache changes, with the prefix and its cached tokens; 0 tokens means that it was evicted.
    std::function<void(std::uint64_t, std::uint32_t)> on_cache_change;

private:
    struct running_call {
        engine_call call;
        std::uint32_t cached = 0;
        std::uint32_t prefill_left = 0;
        std::uint32_t generated = 0;
    };
    struct cached_prefix_entry {
        std::uint32_t tokens = 0;
        std::list<std::uint64_t>::iterator lru_position;
    };

    void truncate_plan();
    void schedule_steps();
    std::vector<running_call>::iterator next_prefill();
    void finish_steps(std::uint64_t steps);
    void admit();
    bool evict_prefixes(std::uint32_t tokens, std::uint64_t pinned_prefix);
    void insert_prefix(std::uint64_t prefix, std::uint32_t tokens);
    void erase_prefix(std::uint64_t prefix, bool notify = true);
    void end_call(std::size_t index);
    running_call* find(std::uint64_t call);
    const running_call* find(std::uint64_t call) const;
    std::uint64_t completed_steps() const;

    virtual_clock& m_clock;
    engine_spec m_spec;
    listener m_listener;
    std::vector<engine_call> m_waiting; ///< in order of priority, then arrival
    std::vector<running_call> m_running;
    std::list<std::uint64_t> m_lru_prefixes; ///< cached prefixes, most recently used first
    std::unordered_map<std::uint64_t, cached_prefix_entry> m_cache;
    std::uint64_t m_cache_tokens = 0;
    std::uint64_t m_running_tokens = 0;
    double m_slowdown = 1;
    bool m_failed = false;
    duration_histogram* m_token_gaps = nullptr;

    // Consecutive steps of equal length run as one event of the clock. Each new plan gets a new number, so that the
    // event of an outdated plan is ignored.
    timestamp m_plan_start{0};
    timestamp m_step_time{0};
    std::uint64_t m_planned_steps = 0; ///< 0 when idle
    std::size_t m_prefilling = 0;      ///< index of the call whose prompt is computed, or `m_running.size()`
    std::uint64_t m_plan_number = 0;
};

} // namespace lagoonferry::bench
