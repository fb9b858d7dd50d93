#pragma once

#include "fake_kv.h"
#include "journal/partition_image.h"
#include "program/partition_owner.h"
#include "program/replica_store.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lagoonferry::test {

/// Event counts of one random failure schedule, with which a test checks that the schedules reach the relevant states.
struct simulation_counts {
    std::uint64_t turns = 0;
    std::uint64_t repeated_turns = 0;
    std::uint64_t executions = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t handovers = 0;
    std::uint64_t refusals = 0;
    std::uint64_t lost_programs = 0; ///< unavailable after the loss of the owner and of a replica
    std::uint64_t list_changes = 0;
    std::uint64_t unknown_outcomes = 0;
    std::uint64_t history_reads = 0;   ///< reads of segments by a ready owner
    std::uint64_t corrupted_reads = 0; ///< replies with a text that does not match its digest
    std::uint64_t events = 0;
};

struct simulation_options {
    std::uint64_t seed = 0;
    fault_injection faults;
    bool read_back = true;
    replica_faults replica;
    std::size_t history_bytes = 0; ///< limit of each instance, so that texts are evicted; 0: the default
    bool trace = false;
};

/// Deterministic simulation of one partition on a virtual clock: a few instances, each with a partition owner and a
/// replica store, a key-value service, engines, a tool and callers. The seed determines every delay, message loss,
/// crash and pause. Faults stop after a while. From then on every request must get a reply and every program must
/// continue.
class partition_simulation {
public:
    explicit partition_simulation(const simulation_options& options);

    /// Runs the schedule. Returns the violated invariant, or nothing.
    std::optional<std::string> run();

    const simulation_counts& counts() const { return m_counts; }

private:
    struct open_request {
        std::string program;
        std::uint64_t turn = 0;
        std::string key;
        bool executed = false;
        /// Called with the reply, or null if the instance crashed, and the epoch of the instance that replied.
        std::function<void(const std::variant<success, refusal>*, std::uint64_t)> done;
    };

    struct instance {
        std::string id;
        std::uint64_t incarnation = 0;
        bool alive = false;
        timestamp paused_until{0};
        timestamp stopped_at{0}; ///< time of the last crash or pause
        bool listed = true;
        std::unique_ptr<partition_owner> owner;
        std::unique_ptr<replica_store> store;
        std::map<request_id, open_request> requests;
        std::uint64_t timer = 0;
    };

    struct acknowledged_turn {
        std::vector<std::string> messages;
        std::string answer;
        std::string digest;
        std::uint64_t epoch = 0; ///< of the owner that replied
    };

    /// State that a successor could recover at this moment.
    struct recoverable {
        partition_image image;
        std::set<std::string> texts; ///< digests of the texts
    };

    struct caller_state {
        std::string program;
        std::string parent;
        budget limits;
        budget used; ///< by engines and tools, without children
        bool open = false;
        std::uint64_t open_epoch = 0;
        bool ended = false;
        bool abandoned = false;    ///< unavailable, out of budget, or its opening was refused
        bool loss_allowed = false; ///< a part may be lost, because the owner and a listed backup failed
        bool final_turn = false;
        bool busy = false;
        std::uint64_t next_key = 0;
        std::vector<std::string> messages; ///< of the next turn
        std::map<std::uint64_t, acknowledged_turn> turns;
    };

    struct key_counts {
        std::uint64_t requests = 0;
        std::uint64_t not_run = 0;
        std::uint64_t executions = 0;
    };

    struct scheduled {
        timestamp at{0};
        std::uint64_t order = 0;
        std::shared_ptr<std::function<void()>> run;
        bool operator<(const scheduled& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    std::uint64_t random_below(std::uint64_t n) { return m_random() % n; }
    bool chance(std::uint64_t percent) { return random_below(100) < percent; }
    timestamp random_duration(std::uint64_t low, std::uint64_t high);
    void at(timestamp delay, std::function<void()> run);
    void report_violation(const std::string& what);
    void trace(const std::string& text) const;
    bool faults_over() const { return m_now >= m_faults_end; }

    void start(std::size_t n);
    void crash(std::size_t n);
    void pause(std::size_t n);
    void inject_fault();
    void change_ownership();
    void publish_membership();
    void deliver(std::size_t to, event input, std::uint64_t incarnation = 0);
    void deliver_now(std::size_t to, const event& input, std::uint64_t incarnation);
    void handle(std::size_t to, const event& input);
    void set_timer(std::size_t to);

    void execute(std::size_t from, const kv_call& it);
    kv_reply corrupt_read(const kv_call& it, kv_reply answer);
    void execute(std::size_t from, const send_replicate& it);
    void apply_replicate(std::size_t from, std::size_t to, std::uint64_t incarnation, const replicate_request& message);
    void execute(std::size_t from, const send_fetch& it);
    void execute(std::size_t from, const start_engine_call& it);
    void execute(std::size_t from, const cancel_engine_call& it);
    void execute(std::size_t from, const send_tool_call& it);
    void execute(std::size_t from, const owner_reply& it);
    void execute(std::size_t from, const release_engine_memory& it);
    void execute(std::size_t from, const partition_ready& it);
    void execute(std::size_t from, const partition_lost& it);

    bool reachable(std::size_t a, std::size_t b);
    void send(std::size_t from, std::size_t to, const std::function<void()>& arrive);
    std::optional<head_record> head();
    std::vector<log_item> replica_items(const head_record& head);
    recoverable find_recoverable(const head_record& head);
    void check_recoverable();
    void check_stored(caller_state& it, std::uint64_t number, std::uint64_t epoch);
    void check_open_stored(caller_state& it, std::uint64_t epoch);
    bool allow_loss(caller_state& it, std::uint64_t epoch);
    void check_head(const std::optional<head_record>& before);
    void mark_executed(std::size_t at, const std::string& program, std::uint64_t turn, const std::string& key);
    void spend(const std::string& program, const budget& amount);
    void check_budget(const std::string& program);

    std::size_t choose_instance();
    void request(event input, open_request record);
    void request_at(std::size_t to, event input, open_request record);
    void step(caller_state& it);
    void open(caller_state& it);
    void turn(caller_state& it);
    void call(caller_state& it);
    void end(caller_state& it);
    void after(caller_state& it, timestamp pause);
    void on_turn(caller_state& it, std::uint64_t number, const std::vector<std::string>& messages,
                 const std::variant<success, refusal>* result, std::uint64_t epoch);
    void on_call(caller_state& it, const std::string& key, const std::variant<success, refusal>* result);
    bool finished() const;
    void check_end();

    simulation_options m_options;
    std::mt19937_64 m_random;
    timestamp m_now{std::chrono::seconds{1}};
    timestamp m_faults_end{0};
    std::uint64_t m_order = 0;
    std::priority_queue<scheduled> m_queue;
    std::optional<std::string> m_violation;
    simulation_counts m_counts;

    fake_kv m_kv;
    std::optional<head_record> m_head; ///< decoded from version `m_head_version`
    std::uint64_t m_head_version = 0;
    timestamp m_kv_outage_end{0};
    timestamp m_kv_slow_end{0};
    timestamp m_kv_lossy_end{0};
    timestamp m_net_lossy_end{0};
    std::map<std::pair<std::size_t, std::size_t>, timestamp> m_link_down_until;

    std::vector<instance> m_instances;
    request_id m_last_request = 0;
    std::map<std::string, caller_state> m_callers;
    std::map<std::string, key_counts> m_key_counts;
    std::map<std::string, std::string> m_results;
    std::set<std::uint64_t> m_lossy_epochs;               ///< ready epochs in which a listed backup crashed
    std::map<std::uint64_t, std::string> m_epoch_writers; ///< writer that became ready in each epoch
};

} // namespace lagoonferry::test
