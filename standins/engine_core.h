#pragma once

#include "prefix_cache.h"

#include "backends/engine_report.h"
#include "util/time.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry::standin {

/// Speed and size of an engine.
struct engine_limits {
    double decode_tokens_per_second = 50;    ///< for each running sequence
    double prefill_tokens_per_second = 5000; ///< for the part of a prompt that is not cached
    std::size_t max_batch_size = 16;         ///< sequences that run at the same time
    std::uint64_t cache_tokens = 200'000;    ///< memory of running sequences and the prefix cache
};

/// One completion to run.
struct engine_job {
    std::string call_id;
    std::string program;
    int priority = 2;                 ///< 0 runs first
    std::vector<prompt_block> prompt; ///< without a resumed answer
    prompt_block answer;              ///< the finished answer, as it appears in the next prompt
    std::uint32_t resumed_tokens = 0; ///< answer tokens that another engine has generated
    std::uint32_t tokens = 0;         ///< length of the whole answer
    timestamp pin_duration{};
};

enum class sequence_state { queued, running, finished, cancelled };

/// A submitted job. The core changes it; readers hold the same lock as the core's caller and wait on `changed`.
struct sequence {
    engine_job job;
    std::uint64_t arrival_order = 0;
    sequence_state state = sequence_state::queued;
    std::uint32_t generated = 0;             ///< answer tokens so far, including resumed ones
    std::uint64_t cached = 0;                ///< prompt tokens found in the cache when it last started to run
    bool released = false;                   ///< the program's cache was released meanwhile
    std::vector<prompt_block> reused_blocks; ///< cached blocks that it took over
    timestamp next_token{};
    std::condition_variable changed;

    bool ended() const { return state == sequence_state::finished || state == sequence_state::cancelled; }
    std::uint64_t prompt_tokens() const { return token_sum(job.prompt) + job.resumed_tokens; }
    /// Memory that is reserved while it runs.
    std::uint64_t reserved() const { return token_sum(job.prompt) + job.tokens; }
};

/// Sums over the life of an engine.
struct engine_totals {
    std::uint64_t submitted = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t preempted = 0;
    std::uint64_t generated_tokens = 0;
    std::uint64_t prefilled_tokens = 0;
    std::uint64_t cached_tokens = 0;
};

/// Continuous batching with a prefix cache: running sequences generate at their own pace beside each other; waiting
/// ones start by priority, then in order of arrival, and displace running ones of lower priority, which wait again and
/// keep their tokens. One thread at a time; time is passed in and never decreases.
class engine_core {
public:
    engine_core(const engine_limits& limits, prefix_cache::event_handler on_event);

    /// Queues a job, or returns nothing if it can never fit the memory.
    std::shared_ptr<sequence> submit(timestamp now, engine_job job);

    /// Ends the sequences of a call that are not finished. Returns whether there was one.
    bool cancel(timestamp now, const std::string& call_id);

    /// Ends one sequence unless it has ended.
    void cancel(timestamp now, sequence& target);

    /// Brings the state to `now`.
    void advance(timestamp now);

    /// Returns when the state changes next without a further call.
    std::optional<timestamp> next_change() const;

    /// Generates `factor` times slower than the limits say from `now` on.
    void set_slow_factor(timestamp now, double factor);

    /// Drops what is cached for a program, now or at the end of its running sequences. Returns the tokens dropped now.
    std::uint64_t release(const std::string& program);

    std::vector<prompt_block> export_cache(const std::string& program) const { return m_cache.peek(program); }
    /// Stores an exported prefix if it fits beside the running sequences. Returns whether it was stored.
    bool import_cache(timestamp now, const std::string& program, std::vector<prompt_block> blocks);

    engine_load load() const;
    engine_cache_state cache_state() const;
    const engine_totals& totals() const { return m_totals; }

private:
    using sequence_list = std::list<std::shared_ptr<sequence>>;

    timestamp token_interval() const;
    std::uint64_t reserved_tokens() const;
    void start_waiting(timestamp now);
    bool fits(const sequence& candidate) const;
    bool preempt_for(timestamp now, const sequence& candidate);
    void start(timestamp now, sequence_list::iterator it);
    void generate(timestamp now, sequence_list::iterator it);
    /// Gives the memory of a sequence that stops before its end back to the cache.
    void return_blocks(timestamp now, sequence& target);
    void store(timestamp now, sequence& target, std::vector<prompt_block> blocks);

    engine_limits m_limits;
    prefix_cache m_cache;
    engine_totals m_totals;
    double m_slow_factor = 1;
    std::uint64_t m_last_arrival_order = 0;
    sequence_list m_waiting;
    sequence_list m_running;
};

} // namespace lagoonferry::standin
