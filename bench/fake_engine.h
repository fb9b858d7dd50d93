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

/// Speed and size of a fake engine. Times are those of an engine of speed 1 divided by `speed`.
struct engine_spec {
    std::string id;
    std::string model;
    std::string failure_domain;
    double speed = 1;
    double step_base_us = 14'000;   ///< one step of an empty batch
    double step_per_call_us = 1200; ///< per call in the batch
    double prefill_us = 50;         ///< per prompt token that is not cached
    std::uint32_t max_batch_size = 24;
    std::uint32_t memory_tokens = 160'000; ///< running calls and cached prefixes
};

/// One call as an engine sees it.
struct engine_call {
    std::uint64_t id = 0;
    service_class priority = service_class::normal;
    std::uint64_t prefix = 0;
    std::uint32_t prompt = 0;
    std::uint32_t output = 0; ///< tokens until the answer is complete
};

/// What an engine tells the caller of a call.
enum class engine_event { started, first_token, done };

/// Model engine with continuous batching on a virtual clock: each step gives every running call one token, takes longer
/// for larger batches, and computes up to 256 prompt tokens of one call. Prefixes stay cached until their memory is
/// needed (least recently used first). Waiting calls start, and prompts are computed, in order of priority, then
/// arrival. Not thread-safe.
class fake_engine {
public:
    using listener = std::function<void(engine_event, std::uint64_t call)>;

    fake_engine(virtual_clock& clock, engine_spec spec, listener on_event);

    void submit(const engine_call& call);

    /// Ends a call; returns the tokens it has generated. Its prefix stays cached. Unknown calls are ignored.
    std::uint32_t cancel(std::uint64_t call);

    /// Drops the cached prefix; calls that use it keep their memory until they end.
    void drop_prefix(std::uint64_t prefix);

    /// Loses all calls and the cache, and runs nothing any more.
    void fail();

    /// Changes the model, which drops the cache. Precondition: no calls.
    void change_model(const std::string& model);

    /// Makes every step take `factor` times as long from now on.
    void set_slowdown(double factor);

    /// Tokens generated so far by a call; 0 for an unknown call.
    std::uint32_t generated(std::uint64_t call) const;

    /// Prompt tokens of a call that were found in the cache when it started; 0 for an unknown call.
    std::uint32_t cached(std::uint64_t call) const;

    std::uint32_t cached_prefix(std::uint64_t prefix) const;
    const std::list<std::uint64_t>& cached_prefixes() const { return m_recent; }

    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(m_waiting.size()); }
    const engine_spec& spec() const { return m_spec; }
    double slowdown() const { return m_slowdown; }

    /// Receives the duration of steps, weighted by the calls that got a token.
    void set_token_gap_histogram(duration_histogram* token_gaps) { m_token_gaps = token_gaps; }

    /// Called with prefix and tokens held (0: evicted) when the cache changes.
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
        std::list<std::uint64_t>::iterator recent;
    };

    void advance();
    void plan();
    std::vector<running_call>::iterator next_prefill();
    void finish_steps(std::uint64_t steps);
    void admit();
    bool make_room(std::uint32_t tokens, std::uint64_t keep);
    void store(std::uint64_t prefix, std::uint32_t tokens);
    void erase_prefix(std::uint64_t prefix, bool notify = true);
    void end_call(std::size_t index);
    running_call* find(std::uint64_t call);
    const running_call* find(std::uint64_t call) const;
    std::uint64_t whole_steps() const;

    virtual_clock& m_clock;
    engine_spec m_spec;
    listener m_listener;
    std::vector<engine_call> m_waiting; ///< in order of priority, then arrival
    std::vector<running_call> m_running;
    std::list<std::uint64_t> m_recent; ///< cached prefixes, most recently used first
    std::unordered_map<std::uint64_t, cached_prefix_entry> m_cache;
    std::uint64_t m_cache_tokens = 0;
    std::uint64_t m_running_tokens = 0;
    double m_slowdown = 1;
    bool m_failed = false;
    duration_histogram* m_token_gaps = nullptr;

    // Equal steps are run as one event: the plan in force, and its number so that an outdated event is ignored.
    timestamp m_plan_start{0};
    timestamp m_step{0};
    std::uint64_t m_steps = 0;    ///< 0 when idle
    std::size_t m_prefilling = 0; ///< index of the call whose prompt is computed, or `m_running.size()`
    std::uint64_t m_plan = 0;
};

} // namespace lagoonferry::bench
