#pragma once

#include "journal/journal.h"
#include "program/backup_set.h"
#include "program/history.h"
#include "program/history_memory.h"
#include "program/partition_owner.h"
#include "program/program_state.h"
#include "program/recovery.h"
#include "util/failure.h"

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// Implementation of `partition_owner`. The event handlers change the state. After each event, `advance` moves running
/// calls and pending replies on when the stored or the durable part of the log has grown or a deadline has passed.
class partition_owner::core {
public:
    explicit core(owner_settings settings);
    core(const core&) = delete;
    core& operator=(const core&) = delete;
    ~core();

    std::vector<action> handle(const event& input, timestamp now);
    std::optional<timestamp> next_wake() const;

    owner_phase phase() const { return m_phase; }
    std::uint64_t epoch() const { return m_phase == owner_phase::idle ? 0 : m_journal.epoch(); }
    std::vector<backup_ref> backups() const;
    const owner_counters& counters() const { return m_counters; }

private:
    enum class call_kind { turn, idempotent, irreversible };

    enum class call_step {
        storing_high_water_mark, ///< waits until the high-water mark that covers the reservation is stored
        confirming,              ///< an irreversible call waits until its intent is durable
        running,                 ///< sent to an engine or a tool
    };

    /// A turn or a tool call from its acceptance until its result is known.
    struct running_call {
        call_kind kind = call_kind::turn;
        call_step step = call_step::storing_high_water_mark;
        std::string id;
        std::string program;
        request_id request = 0;
        bool replied = false;               ///< replied with "outcome unknown"; a late result is still recorded
        std::uint64_t awaited_sequence = 0; ///< log sequence that the current step waits for
        timestamp step_deadline{0};
        timestamp deadline{0};
        timestamp not_before{0}; ///< earliest start of the next attempt of an idempotent call
        budget reserved;
        begin_turn turn; ///< for turns; with the new messages in canonical form
        begin_call call; ///< for tool calls
        std::uint32_t attempt = 1;
    };

    /// A reply that is sent once the log is stored up to `sequence`. After the deadline `timeout_refusal` is sent
    /// instead.
    struct pending_reply {
        request_id request = 0;
        std::uint64_t sequence = 0;
        timestamp deadline{0};
        std::variant<success, refusal> result;
        refusal timeout_refusal;
        std::string end_on_timeout; ///< program to end with the refusal of its opening, because it will not be used
    };

    /// A turn that waits until all texts of its program are in memory.
    struct waiting_turn {
        begin_turn turn;
        timestamp deadline{0};
    };

    /// State of reading the evicted texts of one program back from the key-value service.
    struct history_load {
        std::string program;
        std::set<std::string> keys; ///< segments that remain to be read
        std::map<std::uint64_t, std::vector<text_ref>> found;
        std::size_t bytes = 0;
    };

    using call_map = std::map<std::string, running_call, std::less<>>;
    using program_map = std::map<std::string, program_state, std::less<>>;

    // owner_core.cpp: ownership and timers
    void on(const kv_reply& it);
    void on(const replicate_reply& it);
    void on(const fetch_reply& it);
    void on(const membership_changed& it);
    void on(const timer_fired& it);
    void on(const start_takeover& it);
    void on(const start_handover& it);
    void run_until_stable();
    void advance();
    void advance_ownership();
    void handle_ownership_loss();
    void advance_takeover();
    void finish_takeover();
    std::vector<entry> end_incomplete_programs(recovered_partition& recovered);
    void restore_programs(const recovered_partition& recovered);
    program_state restore_program(const std::string& id, const program_record& record,
                                  const recovered_partition& recovered) const;
    void become_ready();
    void advance_handover();
    void append_final_high_water_marks();
    void drop_ownership(loss_reason reason, std::optional<instance_ref> owner);
    void refuse_all_requests(const refusal& reason);
    refusal not_owner_refusal() const;
    void send_pending_replies();
    void advance_calls();
    void clean_up();
    void expire_results(const std::string& id, program_state& program);

    // owner_programs.cpp: programs, and checks that are common to all requests
    void on(const open_program& it);
    void on(const end_program& it);
    void on(const query_program& it);
    void on(const list_programs& it);
    nlohmann::json describe(const std::string& id, const program_state& program) const;
    std::optional<refusal> check_open(const open_program& it) const;
    std::optional<refusal> check_owned() const;
    std::optional<refusal> check_capacity() const;
    std::optional<refusal> check_new_work() const;
    std::optional<refusal> check_program(const std::string& program, const std::string& account) const;
    static refusal ended_refusal(const end_entry& ended);
    void end_with_children(const std::string& id, const std::string& reason);
    void end_single_program(program_state& program, const std::string& reason);
    void stop_call(const std::string& id);
    std::uint64_t stored_turns(const program_state& program) const;

    // owner_turns.cpp: turns
    void on(const begin_turn& it);
    void on(const engine_completed& it);
    void on(const engine_failed& it);
    std::optional<turn_request> parse_turn(const begin_turn& it, const program_state& program, failure& reason) const;
    void reply_repeated_turn(const begin_turn& it, const program_state& program, const turn_request& request);
    void start_turn(const begin_turn& it, program_state& program, turn_request request);
    void send_turn(running_call& call);
    void store_turn(running_call& call, std::string answer, const token_usage& usage);

    // owner_history.cpp: eviction of texts from memory, and reading them back
    static bool in_memory(const program_state& program);
    std::optional<refusal> check_history(const begin_turn& it, const program_state& program) const;
    void enqueue_history_load(const begin_turn& it, const program_state& program);
    void advance_loads();
    void finish_read(const segment_read& read);
    void add_texts(history_load& load, const segment_read& read);
    void complete_load(const history_load& load);
    std::optional<std::vector<text_ref>> assemble_chain(const program_state& program, const history_load& load) const;
    /// An empty `program` stands for all programs, also in `drop_loads`.
    void refuse_waiting(const std::string& program, const refusal& reason);
    void drop_loads(const std::string& program);
    void evict_texts();
    void evict_to_partition_limit(bool include_small_segments);
    void evict(program_state& program, bool include_small_segments);
    bool needs_texts(const program_state& program) const;
    void count_texts(program_state& program);
    void count_bytes(std::size_t bytes);

    // owner_calls.cpp: tool calls
    void on(const begin_call& it);
    void on(const call_finished& it);
    void on(const query_call& it);
    std::optional<refusal> check_call(const begin_call& it) const;
    void reply_from_key(request_id request, const key_state& key);
    void start_call(const begin_call& it, program_state& program);
    void append_intent(running_call& call);
    void send_call(running_call& call);
    void call_completed(running_call& call, const call_finished& it);
    void call_not_sent(running_call& call, const call_finished& it);
    void call_unknown(running_call& call, const std::string& text);
    bool retry_call(running_call& call);
    std::uint64_t record_outcome(const running_call& call, bool known, const std::string& result);
    void abandon(const running_call& call);

    // owner_calls.cpp: steps of running calls; each step may remove the call
    void advance_call(running_call& call);
    void advance_storing(running_call& call);
    void refuse_before_sending(running_call& call);
    void advance_confirming(running_call& call);
    void advance_running(running_call& call);
    bool has_calls(const std::string& program) const;
    bool reserve_for(program_state& program, running_call& call);
    void settle_call(running_call& call, const budget& used);
    running_call* find_running(const std::string& id, std::uint64_t epoch);
    void remove_call(const std::string& id);
    std::string new_call_id(const std::string& program);

    // helpers
    std::uint64_t append(entry content, text_ref text = nullptr, durability required = durability::lazy);
    program_state* find_program(std::string_view id);
    const program_state* find_program(std::string_view id) const;
    void reply(request_id request, success result);
    void refuse(request_id request, refusal reason);
    void reply_when_stored(pending_reply reply);
    void emit(action it) { m_actions.push_back(std::move(it)); }
    bool is_stored(std::uint64_t sequence) const { return sequence <= m_stored; }

    owner_settings m_settings;
    journal m_journal;
    backup_set m_backups;
    std::unique_ptr<recovery> m_recovery;
    std::vector<peer_state> m_peers;

    owner_phase m_phase = owner_phase::idle;
    std::optional<instance_ref> m_current_owner; ///< the instance that replaced this one, if known
    instance_ref m_successor;
    bool m_released = false; ///< the final entries of a handover are appended; no more may follow
    timestamp m_now{0};
    std::uint64_t m_stored = 0;
    std::uint64_t m_last_call = 0;
    timestamp m_next_clean_up{0};
    std::shared_ptr<history_memory> m_memory;
    std::size_t m_history_bytes = 0; ///< of this partition, as accounted in `m_memory`
    timestamp m_next_eviction{0};
    bool m_resuming_turns = false; ///< while turns resume that were accepted before their history was read
    owner_counters m_counters;

    program_map m_programs;
    call_map m_calls;
    std::list<pending_reply> m_pending_replies;
    std::list<waiting_turn> m_waiting_turns;
    std::list<history_load> m_loads;
    std::vector<action> m_actions;
};

/// Reason with which a takeover ends a program whose last entries may have been only on a lost replica.
constexpr std::string_view incomplete_history_reason = "a part of the history may be lost";

/// Retry-after times of refusals, in milliseconds.
constexpr std::uint64_t short_retry_after_ms = 200;
constexpr std::uint64_t long_retry_after_ms = 1000;

} // namespace lagoonferry
