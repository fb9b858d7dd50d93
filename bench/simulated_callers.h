#pragma once

#include "fleet.h"
#include "ground_truth.h"
#include "run_recorder.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lagoonferry::bench {

/// Simulates the programs of callers and the entries that run their calls. It acquires slots, sends calls to engines,
/// resumes after preemptions and refusals, reports progress once a second, and frees the prefixes of ended programs.
/// Not thread-safe.
class simulated_callers : public ground_truth {
public:
    simulated_callers(virtual_clock& clock, const workload& w, fleet& engines, run_recorder& recorder);

    /// Starts a program at the current time.
    void start_program(program_spec spec, std::uint32_t account);

    /// Starts the periodic progress reports and cache samples.
    void start_reports();

    void on_engine_event(engine_event event, std::uint64_t call);
    void on_dispatcher_message(const outgoing_slot_message& m);

    /// Stops the reports and records the programs that have not ended as abandoned.
    void end_run();

    /// Returns the number of programs that have not ended, without sub-agents.
    std::size_t active() const { return m_active; }
    void stop() { m_stopped = true; }

    double remaining_work_us(std::uint64_t prefix) const override;
    double speed(std::string_view engine) const override;
    std::uint32_t cached(std::string_view engine, std::uint64_t prefix) const override;
    std::uint32_t output(std::uint64_t prefix) const override;

private:
    enum class call_state { none, waiting_for_slot, submitted };

    /// State of a program or sub-agent.
    struct program {
        program_spec spec;
        std::optional<std::size_t> parent;
        std::uint32_t account = 0;
        std::uint32_t entry = 0;
        service_class priority = service_class::normal;
        timestamp started{0};
        bool ended = false;
        std::size_t pending_sub_agents = 0;
        std::size_t next_call = 0;
        std::uint32_t history = 0; ///< tokens
        double service = 0; ///< attained service of the program and its sub-agents; only used in the root program
        double remaining_us = 0;

        // Current call.
        call_state state = call_state::none;
        std::uint64_t request = 0;
        std::uint64_t slot = 0;
        std::string target;
        std::uint32_t generated = 0; ///< tokens generated in earlier slots of the current call
        timestamp requested_at{0};
        timestamp acquire_sent{0};
        timestamp submitted{0};
        timestamp first_token_at{0}; ///< time of the first token in this slot; 0 before it
        bool first_token_counted = false;
        bool short_wait_counted = false;
    };

    void start_call(std::size_t index);
    void acquire_slot(std::size_t index);
    void on_reply(std::size_t index, const slot_grant& m);
    void on_reply(std::size_t index, const slot_refuse& m);
    void preempt(std::uint64_t slot);
    void cancel_and_resume(std::size_t index, std::uint64_t slot);
    void on_call_started(std::size_t index);
    void on_call_done(std::size_t index);
    void start_sub_agents(std::size_t index);
    void release(program& p, std::uint32_t tokens, bool preempted);
    void start_next_call(std::size_t index);
    void finish_program(std::size_t index, bool abandoned);
    void abandon_call(program& p);
    void abandon_program(std::size_t root);
    void report_progress();
    void sample_caches();
    void update_long_calls(const program& p, int change);
    void record_short_wait(program& p);
    std::size_t root_of(std::size_t index) const;
    const call_spec& current_call(const program& p) const { return p.spec.calls.at(p.next_call); }
    double unbatched_work_us(const call_spec& call) const;
    double program_work_us(const program_spec& spec) const;
    std::uint32_t prompt_length(const program& p) const { return p.history + current_call(p).new_prompt + p.generated; }
    std::uint32_t mean_output(std::size_t kind) const;

    static std::uint64_t prefix_of(std::size_t index) { return index + 1; }

    virtual_clock& m_clock;
    const workload& m_workload;
    fleet& m_fleet;
    run_recorder& m_recorder;
    std::deque<program> m_programs;
    std::unordered_map<std::uint64_t, std::size_t> m_program_by_request;
    std::unordered_map<std::uint64_t, std::size_t> m_program_by_slot;
    std::unordered_map<std::string, std::unordered_map<std::uint64_t, std::uint32_t>>
        m_longest_cached;                              ///< most tokens that any engine has held, by model and prefix
    std::unordered_map<std::string, int> m_long_calls; ///< long calls that wait or run, by model
    std::uint64_t m_next_request = 1;
    std::size_t m_active = 0;
    bool m_stopped = false;
};

} // namespace lagoonferry::bench
