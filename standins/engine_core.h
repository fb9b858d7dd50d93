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

/// Speed and capacity of a simulated engine.
struct engine_limits {
    double decode_tokens_per_second = 50;    ///< for each running sequence
    double prefill_tokens_per_second = 5000; ///< for the uncached part of a prompt
    std::size_t max_batch_size = 16;         ///< sequences that run concurrently
    std::uint64_t cache_tokens = 200'000;    ///< KV cache, shared by running sequences and the prefix cache
};

/// One completion to generate.
struct engine_job {
    std::string call_id;
    std::string program;
    int priority = 2;                 ///< 0 is the most urgent
    std::vector<prompt_block> prompt; ///< without the resumed part of the answer
    prompt_block answer;              ///< the complete answer as a block of the next prompt
    std::uint32_t resumed_tokens = 0; ///< answer tokens that another engine has already generated
    std::uint32_t tokens = 0;         ///< length of the complete answer
    timestamp pin_duration{};         ///< how long the prefix stays pinned after the call; 0: not pinned
};

enum class sequence_state { queued, running, finished, cancelled };

/// A submitted job. Only `engine_core` modifies it. Readers hold the lock that also guards the `engine_core`, and wait
/// on `changed`.
struct sequence {
    engine_job job;
    std::uint64_t arrival_order = 0;
    sequence_state state = sequence_state::queued;
    std::uint32_t generated = 0;             ///< answer tokens so far, including resumed ones
    std::uint64_t cached = 0;                ///< prompt tokens found in the prefix cache at the last start
    bool released = false;                   ///< the program was released after the submission
    std::vector<prompt_block> reused_blocks; ///< blocks taken out of the prefix cache
    timestamp next_token_time{};
    std::condition_variable changed;

    bool ended() const { return state == sequence_state::finished || state == sequence_state::cancelled; }
    std::uint64_t prompt_tokens() const { return token_sum(job.prompt) + job.resumed_tokens; }
    /// KV cache tokens that are reserved while the sequence runs.
    std::uint64_t reserved() const { return token_sum(job.prompt) + job.tokens; }
};

/// Counters since the start of an engine.
struct engine_totals {
    std::uint64_t submitted = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t preempted = 0;
    std::uint64_t generated_tokens = 0;
    std::uint64_t prefilled_tokens = 0;
    std::uint64_t cached_tokens = 0;
};

/// Simulates an engine with continuous batching and a prefix cache. Running sequences generate tokens concurrently.
/// Queued sequences start by priority, then in order of arrival. They preempt running sequences of lower priority; a
/// preempted sequence is queued again and keeps its generated tokens. Not thread-safe. Callers pass the current time,
/// which must not decrease.
class engine_core {
public:
    engine_core(const engine_limits& limits, prefix_cache::event_handler on_event);

    /// Queues a job. Returns nullptr if the job needs more than the whole KV cache.
    std::shared_ptr<sequence> submit(timestamp now, engine_job job);

    /// Cancels the unfinished sequences of a call. Returns whether there was any.
    bool cancel(timestamp now, const std::string& call_id);

    /// Cancels a sequence unless it has already ended.
    void cancel(timestamp now, sequence& seq);

    /// Advances the simulation to `now`.
    void advance(timestamp now);

    /// Returns the time of the next state change that happens without a further call, or nothing.
    std::optional<timestamp> next_change() const;

    /// From `now` on, generates tokens `factor` times slower than the limits.
    void set_slow_factor(timestamp now, double factor);

    /// Drops the cached prefix of a program. Its unfinished sequences are not cached when they end. Returns the number
    /// of tokens dropped now.
    std::uint64_t release(const std::string& program);

    std::vector<prompt_block> export_cache(const std::string& program) const { return m_cache.peek(program); }
    /// Stores an exported prefix if it fits into the KV cache beside the running sequences. Returns whether it was
    /// stored.
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
    /// Stores the prefix of a preempted or cancelled sequence in the prefix cache.
    void return_blocks(timestamp now, sequence& seq);
    void store(timestamp now, sequence& seq, std::vector<prompt_block> blocks);

    engine_limits m_limits;
    prefix_cache m_cache;
    engine_totals m_totals;
    double m_slow_factor = 1;
    std::uint64_t m_last_arrival_order = 0;
    sequence_list m_waiting;
    sequence_list m_running;
};

} // namespace lagoonferry::standin
