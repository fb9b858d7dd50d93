#include "fake_kv.h"
#include "program/partition_owner.h"
#include "program/replica_store.h"

#include <doctest/doctest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

using namespace lagoonferry;
using namespace lagoonferry::test;

namespace {

constexpr timestamp ms{std::chrono::milliseconds{1}};
constexpr std::uint64_t turns_per_program = 12;
constexpr std::uint64_t turn_interval_s = 2; ///< between two turns of one program

struct fleet_size {
    std::uint32_t instances = 8;
    std::uint32_t partitions = 32;
    std::uint64_t turns_per_second = 100;
    std::int64_t delay_factor = 1; ///< multiplies the delay of lazy entries and the segment interval
};

/// Simulated instances that own equal numbers of partitions. Every message and platform call takes a fixed time.
class fleet {
public:
    explicit fleet(const fleet_size& size = {}) : m_size(size)
    {
        for (std::uint32_t n = 0; n < size.instances; ++n) {
            m_stores.push_back(std::make_unique<replica_store>(name(n), 1));
        }
        for (std::uint32_t p = 0; p < size.partitions; ++p) {
            const std::uint32_t self = p % size.instances;
            owner_settings settings;
            settings.partition = p;
            settings.self = {name(self), name(self)};
            settings.failure_domain = domain(self);
            settings.writer = "w" + std::to_string(p);
            settings.journal.lazy_delay *= size.delay_factor;
            settings.journal.segment_interval *= size.delay_factor;
            m_owners.push_back(std::make_unique<partition_owner>(settings));
            membership_changed view;
            for (std::uint32_t n = 1; n < size.instances; ++n) {
                const std::uint32_t peer = (p + n) % size.instances;
                view.peers.push_back({{name(peer), name(peer)}, 1, domain(peer), false, false, true});
            }
            handle(p, view);
            handle(p, start_takeover{});
        }
        run(m_now + 100 * ms);
        for (std::uint64_t n = 0; n < size.turns_per_second * turn_interval_s; ++n) {
            open_program_on_random_partition();
        }
        run(m_now + 1000 * ms);
    }

    /// Runs turns at a constant rate; every tenth one has an irreversible call.
    void load(std::uint64_t seconds)
    {
        for (std::uint64_t n = 0; n < seconds * m_size.turns_per_second; ++n) {
            run(m_now + timestamp{1'000'000 / m_size.turns_per_second});
            run_turn(n);
        }
    }

    const fake_kv& kv() const { return m_kv; }
    std::uint64_t answered() const { return m_answered; }
    std::uint64_t sent() const { return m_sent; }

private:
    struct program {
        std::string id;
        std::uint32_t partition = 0;
        std::uint64_t turns = 0;
    };

    struct scheduled_task {
        timestamp at{0};
        std::uint64_t order = 0;
        std::shared_ptr<std::function<void()>> run;
        bool operator<(const scheduled_task& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    static std::string name(std::uint32_t n) { return std::to_string(n); }
    static std::string domain(std::uint32_t n) { return "d" + std::to_string(n % 3); }

    void schedule(timestamp delay, std::function<void()> run)
    {
        m_queue.push({m_now + delay, ++m_order, std::make_shared<std::function<void()>>(std::move(run))});
    }

    void run(timestamp end)
    {
        while (!m_queue.empty() && m_queue.top().at <= end) {
            const scheduled_task next = m_queue.top();
            m_queue.pop();
            m_now = std::max(m_now, next.at);
            (*next.run)();
        }
        m_now = end;
    }

    void handle(std::uint32_t p, const event& input)
    {
        for (const action& it : m_owners[p]->handle(input, m_now)) {
            std::visit([this, p](const auto& typed) { perform(p, typed); }, it);
        }
        const auto wake = m_owners[p]->next_wake();
        const std::uint64_t number = ++m_timers[p];
        if (wake) {
            schedule(*wake - m_now, [this, p, number] {
                if (m_timers[p] == number) {
                    handle(p, timer_fired{});
                }
            });
        }
    }

    void perform(std::uint32_t p, const kv_call& it)
    {
        schedule(2 * ms, [this, p, it] {
            const kv_reply reply = m_kv.apply(it);
            schedule(ms, [this, p, reply] { handle(p, reply); });
        });
    }

    void perform(std::uint32_t p, const send_replicate& it)
    {
        schedule(1500 * ms / 1000, [this, p, it] {
            const replicate_reply reply = m_stores.at(std::stoul(it.backup.id))->replicate(it.message);
            schedule(1500 * ms / 1000, [this, p, reply] { handle(p, reply); });
        });
    }

    void perform(std::uint32_t p, const send_fetch& it)
    {
        const fetch_reply reply = m_stores.at(std::stoul(it.backup.id))->fetch(it.message);
        schedule(3 * ms, [this, p, reply] { handle(p, reply); });
    }

    void perform(std::uint32_t p, const start_engine_call& it)
    {
        schedule(800 * ms, [this, p, it] {
            const std::string answer = R"({"role":"assistant","content":")" + std::string(1600, 'a') + "\"}";
            handle(p, engine_completed{it.call, it.epoch, answer, {400, 400}, "t"});
        });
    }

    void perform(std::uint32_t p, const send_tool_call& it)
    {
        ++m_sent;
        schedule(50 * ms, [this, p, it] {
            handle(p, call_finished{it.call, it.epoch, it.attempt, call_status::completed, "{\"done\":true}", 1});
        });
    }

    void perform(std::uint32_t /*p*/, const owner_reply& it)
    {
        m_answered += std::holds_alternative<success>(it.result) ? 1 : 0;
    }

    void perform(std::uint32_t /*p*/, const cancel_engine_call& /*it*/) {}
    void perform(std::uint32_t /*p*/, const release_engine_memory& /*it*/) {}
    void perform(std::uint32_t /*p*/, const partition_ready& /*it*/) {}
    void perform(std::uint32_t /*p*/, const partition_lost& /*it*/) {}

    void open_program_on_random_partition()
    {
        const std::uint32_t p = static_cast<std::uint32_t>(m_random() % m_size.partitions);
        program it{std::to_string(p) + "-" + std::string(16, '0') + std::to_string(10000000 + m_programs++), p, 0};
        handle(p, open_program{++m_last_request, it.id, {}, "account", "service", {1000000, 1000, 1000000}, 4});
        m_running.push_back(it);
    }

    void run_turn(std::uint64_t n)
    {
        // Programs are used round-robin, so that each one pauses for 2 s before its next turn.
        program it = m_running.front();
        m_running.pop_front();
        const std::string message = R"({"role":"user","content":")" + std::string(400, 'q') + "\"}";
        ++it.turns;
        handle(it.partition,
               begin_turn{
                   ++m_last_request, it.id, "account", it.turns, false, {message}, 600, {1, 1, 1}, m_now + 60000 * ms});
        if (n % 10 == 0) {
            handle(it.partition,
                   begin_call{++m_last_request, it.id, "account", true, "key" + std::to_string(m_last_request),
                              "charge", "{}", 10, m_now + 10000 * ms});
        }
        if (it.turns < turns_per_program) {
            m_running.push_back(it);
            return;
        }
        schedule(1500 * ms, [this, it] {
            handle(it.partition, end_program{++m_last_request, it.id, "account", "done"});
        });
        open_program_on_random_partition();
    }

    fleet_size m_size;
    timestamp m_now{std::chrono::seconds{1}};
    std::uint64_t m_order = 0;
    std::priority_queue<scheduled_task> m_queue;
    fake_kv m_kv;
    std::vector<std::unique_ptr<replica_store>> m_stores;
    std::vector<std::unique_ptr<partition_owner>> m_owners;
    std::map<std::uint32_t, std::uint64_t> m_timers;
    std::mt19937 m_random{1};
    std::deque<program> m_running;
    std::uint64_t m_programs = 0;
    request_id m_last_request = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_sent = 0;
};

} // namespace

TEST_CASE("eight owners make at most 100 writes per second at 100 turns per second, a tenth with an irreversible call")
{
    fleet it;
    it.load(20);
    const std::uint64_t writes = it.kv().writes();
    const std::uint64_t reads = it.kv().reads();
    const auto writes_by_kind = it.kv().writes_by_kind();
    const std::uint64_t answered = it.answered();
    const std::uint64_t sent = it.sent();
    constexpr int seconds = 60;
    it.load(seconds);
    const double rate = static_cast<double>(it.kv().writes() - writes) / seconds;
    MESSAGE("writes/s ", rate, ", reads/s ", static_cast<double>(it.kv().reads() - reads) / seconds, ", largest value ",
            it.kv().largest_value(), " bytes, keys ", it.kv().entries().size());
    for (const auto& [kind, count] : it.kv().writes_by_kind()) {
        const std::uint64_t before = writes_by_kind.contains(kind) ? writes_by_kind.at(kind) : 0;
        MESSAGE(kind, ": ", static_cast<double>(count - before) / seconds, "/s");
    }
    CHECK(rate <= 100);
    CHECK(it.sent() - sent >= 590);
    CHECK(it.answered() - answered >= 100 * seconds * 11 / 10);
    CHECK(it.kv().largest_value() < 1024 * 1024);
}

TEST_CASE("longer delays of lazy entries and segments reduce the writes per partition, with six partitions per owner")
{
    // The load of one instance that is expected in two years: 18 turns per second and 6 partitions.
    double previous_rate = 1e9;
    for (const std::int64_t factor : {1, 2, 4, 8}) {
        const fleet_size size{8, 48, 144, factor};
        fleet it(size);
        constexpr std::uint64_t seconds = 40;
        it.load(seconds);
        const std::uint64_t writes = it.kv().writes();
        const std::uint64_t answered = it.answered();
        auto writes_by_kind = it.kv().writes_by_kind();
        it.load(seconds);
        const double rate = static_cast<double>(it.kv().writes() - writes) / seconds;
        MESSAGE("delay ", factor, " s: writes/s ", rate, ", of a partition ", rate / size.partitions);
        for (const auto& [kind, count] : it.kv().writes_by_kind()) {
            MESSAGE("  ", kind, ": ", static_cast<double>(count - writes_by_kind[kind]) / seconds, "/s");
        }
        CHECK(rate < previous_rate);
        CHECK(it.answered() - answered >= seconds * size.turns_per_second);
        previous_rate = rate;
    }
}
