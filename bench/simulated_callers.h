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

/// Programs and the entries that run their calls: asks for slots, sends calls to engines, follows preemptions and
/// refusals, reports progress once a second, ends what a program holds. Not thread-safe.
class simulated_callers : public ground_truth {
public:
    simulated_callers(virtual_clock& clock, const workload& w, fleet& engines, run_recorder& recorder);

    /// Starts a program now.
    void start_program(program_spec spec, std::uint32_t account);

    /// Starts the progress reports and the samples of the caches.
    void start_reports();

    void on_engine_event(engine_event event, std::uint64_t call);
    void on_dispatcher_message(const outgoing_slot_message& m);

    /// Counts the programs that have not ended as given up.
    void end_run();

    /// Programs that have not ended.
    std::size_t active() const { return m_active; }
    void stop() { m_stopped = true; }

    double remaining_work_us(std::uint64_t prefix) const override;
    double speed(std::string_view engine) const override;
    std::uint32_t cached(std::string_view engine, std::uint64_t prefix) const override;
    std::uint32_t output(std::uint64_t prefix) const override;

private:
    enum class call_state { none, asking, sent };

    /// A program or sub-agent.
    struct program {
        program_spec spec;
        std::optional<std::size_t> parent;
        std::uint32_t account = 0;
        std::uint32_t entry = 0;
        service_class priority = service_class::normal;
        timestamp started{0};
        bool ended = false;
        std::size_t open_agents = 0;
        std::size_t next_call = 0;
        std::uint32_t history = 0; ///< tokens
        double service = 0;        ///< of the program and its sub-agents; kept at the root
        double work_left_us = 0;

        // The present call.
        call_state state = call_state::none;
        std::uint64_t request = 0;
        std::uint64_t slot = 0;
        std::string target;
        std::uint32_t generated = 0; ///< in earlier slots of the same call
        timestamp asked{0};
        timestamp acquire_sent{0};
        timestamp sent{0};
        timestamp first{0}; ///< first token in this slot
        bool counted_first = false;
        bool counted_short = false;
    };

    void begin(std::size_t index);
    void ask(std::size_t index);
    void on(std::size_t index, const slot_grant& m);
    void on(std::size_t index, const slot_refuse& m);
    void preempt(std::uint64_t slot);
    void cancel_and_resume(std::size_t index, std::uint64_t slot);
    void call_started(std::size_t index);
    void call_done(std::size_t index);
    void start_sub_agents(std::size_t index);
    void release(program& p, std::uint32_t tokens, bool preempted);
    void next_step(std::size_t index);
    void finish(std::size_t index, bool given_up);
    void abandon_call(program& p);
    void give_up(std::size_t root);
    void report_progress();
    void sample_caches();
    void count_long(const program& p, int change);
    void count_short(program& p);
    std::size_t root_of(std::size_t index) const;
    const call_spec& shape_of(const program& p) const { return p.spec.calls.at(p.next_call); }
    double alone_us(const call_spec& call) const;
    double work_us(const program_spec& spec) const;
    std::uint32_t prompt_of(const program& p) const { return p.history + shape_of(p).new_prompt + p.generated; }
    std::uint32_t usual_output(std::size_t kind) const;

    static std::uint64_t prefix_of(std::size_t index) { return index + 1; }

    virtual_clock& m_clock;
    const workload& m_workload;
    fleet& m_fleet;
    run_recorder& m_recorder;
    std::deque<program> m_programs;
    std::unordered_map<std::uint64_t, std::size_t> m_by_request;
    std::unordered_map<std::uint64_t, std::size_t> m_by_slot;
    std::unordered_map<std::string, std::unordered_map<std::uint64_t, std::uint32_t>> m_known; ///< by model and prefix
    std::unordered_map<std::string, int> m_long_calls;                                         ///< by model
    std::uint64_t m_next_request = 1;
    std::size_t m_active = 0;
    bool m_stopped = false;
};

} // namespace lagoonferry::bench
