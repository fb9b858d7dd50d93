#pragma once

#include "fake_kv.h"
#include "program/partition_owner.h"
#include "program/replica_store.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lagoonferry::test {

/// How key-value calls are handled: executed at once, delayed until `execute_delayed_calls`, executed once without the
/// reply, or failed because the service is down.
enum class kv_mode { execute, delay, lose_reply, down };

/// Environment of all owners of one test: the clock, the key-value service and the replicas of instances b1, b2, b3.
struct cluster {
    timestamp now{std::chrono::seconds{1}};
    fake_kv kv;
    std::map<std::string, std::unique_ptr<replica_store>> stores;
    std::set<std::string> unreachable;

    cluster()
    {
        for (const char* id : {"b1", "b2", "b3"}) {
            stores[id] = std::make_unique<replica_store>(id, 1);
        }
    }

    void restart(const std::string& id, std::uint64_t incarnation)
    {
        stores[id] = std::make_unique<replica_store>(id, incarnation);
    }
};

/// A partition owner whose key-value calls and messages to backups are executed at once, unless a test delays or drops
/// them.
class owner_harness {
public:
    owner_harness(cluster& shared, const std::string& id, owner_settings settings = {}) : m_cluster(&shared)
    {
        settings.self = {id, id + ":1"};
        settings.failure_domain = "own";
        settings.writer = id;
        m_owner = std::make_unique<partition_owner>(std::move(settings));
        set_peers({{"b1", 1}, {"b2", 1}});
    }

    struct peer {
        std::string id;
        std::uint64_t incarnation = 1;
        bool presumed_down = false;
        bool listed = true;
    };

    void set_peers(const std::vector<peer>& peers)
    {
        membership_changed view;
        for (const peer& it : peers) {
            view.peers.push_back({{it.id, it.id}, it.incarnation, it.id, it.presumed_down, false, it.listed});
        }
        handle(view);
    }

    owner_harness& take_over()
    {
        handle(start_takeover{});
        return *this;
    }

    void handle(event input)
    {
        m_events.push_back(std::move(input));
        while (!m_events.empty()) {
            const event next = std::move(m_events.front());
            m_events.pop_front();
            for (action& it : m_owner->handle(next, m_cluster->now)) {
                std::visit([this](auto& typed) { execute(typed); }, it);
            }
        }
    }

    /// Handles an event with a new request id and returns the id.
    template <class Event>
    request_id send(Event input)
    {
        input.request = ++m_last_request;
        handle(input);
        return m_last_request;
    }

    /// Advances the shared clock by `by` and fires the timers of this owner that are due until then.
    void advance(timestamp by)
    {
        const timestamp end = m_cluster->now + by;
        for (auto wake = m_owner->next_wake(); wake && *wake <= end; wake = m_owner->next_wake()) {
            m_cluster->now = *wake;
            handle(timer_fired{});
        }
        m_cluster->now = end;
        handle(timer_fired{});
    }

    /// Executes the delayed key-value calls.
    void execute_delayed_calls()
    {
        mode = kv_mode::execute;
        for (const kv_call& it : std::exchange(delayed_calls, {})) {
            handle(m_cluster->kv.apply(it));
        }
    }

    void open(const std::string& program = "0-a", budget limits = {100000, 1000, 100000},
              const std::string& parent = {})
    {
        send(open_program{0, program, parent, "acc", "svc", limits, 4});
    }

    request_id begin(std::uint64_t number, const std::string& text, const std::string& program = "0-a")
    {
        return send(begin_turn{0, program, "acc", number, false, {text}, 50, {1, 0, 0}, m_cluster->now + deadline});
    }

    void complete(const start_engine_call& call, const std::string& text = R"({"content":"yes","role":"assistant"})",
                  token_usage usage = {10, 10})
    {
        handle(engine_completed{call.call, call.epoch, text, usage, "t1"});
    }

    /// Runs one turn to completion and returns its request id.
    request_id turn(std::uint64_t number, const std::string& text, const std::string& program = "0-a")
    {
        const std::size_t before = engine_calls.size();
        const request_id request = begin(number, text, program);
        if (engine_calls.size() > before) {
            complete(engine_calls.back());
        }
        return request;
    }

    request_id call(const std::string& key, bool irreversible = true, const std::string& program = "0-a")
    {
        return send(begin_call{0, program, "acc", irreversible, key, "pay", "{}", 10, m_cluster->now + deadline});
    }

    void finish(const send_tool_call& call, call_status status, const std::string& result = "done")
    {
        handle(call_finished{call.call, call.epoch, call.attempt, status, result, 3});
    }

    const success* ok(request_id request) const
    {
        const auto it = replies.find(request);
        return it == replies.end() ? nullptr : std::get_if<success>(&it->second);
    }

    /// Returns the refusal of a request, with code `ok` if there is no reply yet or the request succeeded.
    refusal refused(request_id request) const
    {
        const auto it = replies.find(request);
        const refusal* found = it == replies.end() ? nullptr : std::get_if<refusal>(&it->second);
        return found == nullptr ? refusal{result_code::ok, execution_state::run, {}, 0, {}} : *found;
    }

    bool has_reply(request_id request) const { return replies.contains(request); }

    partition_owner& owner() { return *m_owner; }

    kv_mode mode = kv_mode::execute;
    std::vector<kv_call> delayed_calls;
    timestamp deadline{std::chrono::seconds{30}};
    std::map<request_id, std::variant<success, refusal>> replies;
    std::vector<start_engine_call> engine_calls;
    std::vector<cancel_engine_call> cancelled;
    std::vector<send_tool_call> tool_calls;
    std::vector<send_replicate> replicated;
    std::vector<std::string> released_programs;
    std::optional<partition_lost> lost;

private:
    void execute(const kv_call& it)
    {
        switch (mode) {
        case kv_mode::execute:
            m_events.push_back(m_cluster->kv.apply(it));
            return;
        case kv_mode::delay:
            delayed_calls.push_back(it);
            return;
        case kv_mode::lose_reply:
            m_cluster->kv.apply(it);
            mode = kv_mode::execute;
            m_events.push_back(kv_reply{it.request, kv_status::unknown, {}, 0, {}});
            return;
        case kv_mode::down:
            m_events.push_back(kv_reply{it.request, kv_status::unavailable, {}, 0, {}});
            return;
        }
    }

    void execute(const send_replicate& it)
    {
        replicated.push_back(it);
        if (!m_cluster->unreachable.contains(it.backup.id)) {
            m_events.push_back(m_cluster->stores.at(it.backup.id)->replicate(it.message));
        }
    }

    void execute(const send_fetch& it)
    {
        if (!m_cluster->unreachable.contains(it.backup.id)) {
            m_events.push_back(m_cluster->stores.at(it.backup.id)->fetch(it.message));
        }
    }

    void execute(const start_engine_call& it) { engine_calls.push_back(it); }
    void execute(const cancel_engine_call& it) { cancelled.push_back(it); }
    void execute(const send_tool_call& it) { tool_calls.push_back(it); }
    void execute(const owner_reply& it) { replies.emplace(it.request, it.result); }
    void execute(const release_engine_memory& it) { released_programs.push_back(it.program); }
    void execute(const partition_ready& /*it*/) {}
    void execute(const partition_lost& it) { lost = it; }

    cluster* m_cluster;
    std::unique_ptr<partition_owner> m_owner;
    std::deque<event> m_events;
    request_id m_last_request = 0;
};

} // namespace lagoonferry::test
