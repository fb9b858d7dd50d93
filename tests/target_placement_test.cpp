#include "routing/target_placement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <numeric>
#include <queue>
#include <random>

using namespace lagoonferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

target_record make_target(std::string id, std::uint32_t slots = 48)
{
    target_record record;
    record.id = std::move(id);
    record.service = "model";
    record.failure_domain = "a";
    record.slots = slots;
    return record;
}

std::vector<const target_record*> pointers(const std::vector<target_record>& records)
{
    std::vector<const target_record*> out;
    std::ranges::transform(records, std::back_inserter(out), [](const target_record& item) { return &item; });
    return out;
}

placement_request turn_of(std::span<const prompt_block> prompt, session_location session = {})
{
    placement_request request;
    request.prompt = prompt;
    request.output_tokens = 34;
    request.session = std::move(session);
    request.local_domain = "a";
    return request;
}

/// A load peak. At 30 programs a second the engines hardly queue, and exchanging loads makes no difference.
constexpr double programs_per_second = 90;

struct simulation_result {
    double mean_first_token_ms = 0;
    double uncached_per_turn = 0;
};

/// Simulates a burst of programs with four turns each, at seven gateways and 18 engines of three different speeds. An
/// engine computes prompts one after the other.
class burst_simulation {
public:
    /// `exchanged`: gateways exchange their loads. `known_locations`: each gateway knows which target caches the prompt
    /// of a session.
    burst_simulation(unsigned seed, bool exchanged, bool known_locations)
        : m_random(seed), m_exchange_loads(exchanged), m_know_locations(known_locations)
    {
        for (int n = 0; n < 18; ++n) {
            m_records.push_back(make_target("e" + std::to_string(n)));
            m_speed.push_back(std::array{0.6, 1.0, 1.6}[static_cast<std::size_t>(n) % 3]);
        }
        m_busy_until.resize(m_records.size());
        for (unsigned n = 0; n < 7; ++n) {
            m_gateways.emplace_back(seed * 100 + n);
        }
    }

    simulation_result run()
    {
        std::uniform_real_distribution<double> gap(0, 2.0 / programs_per_second);
        double at = 0;
        for (std::uint64_t n = 1; n <= 1'200; ++n) {
            at += gap(m_random);
            m_events.push({at * 1'000, event_kind::turn, n, 0, 0, 0});
        }
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            exchange_loads(next.ms);
            handle(next);
        }
        return {m_first_sum / m_turns, m_uncached_sum / m_turns};
    }

private:
    enum class event_kind { turn, first, end };
    struct event {
        double ms;
        event_kind kind;
        std::uint64_t program;
        int turn;
        std::size_t gateway;
        std::size_t engine;
        std::uint32_t uncached = 0;
        bool operator<(const event& other) const { return ms > other.ms; }
    };

    static timestamp time_of(double ms) { return timestamp(static_cast<std::int64_t>(ms * 1'000) + 1'000'000); }

    void exchange_loads(double ms)
    {
        if (!m_exchange_loads || ms - m_last_exchange < 60) {
            return;
        }
        m_last_exchange = ms;
        for (std::size_t from = 0; from < m_gateways.size(); ++from) {
            for (std::size_t to = 0; to < m_gateways.size(); ++to) {
                if (from != to) {
                    m_gateways[to].on_peer_loads("g" + std::to_string(from), m_gateways[from].local_loads(time_of(ms)),
                                                 time_of(ms));
                }
            }
        }
    }

    void handle(const event& item)
    {
        target_placement& gateway = m_gateways[item.gateway];
        const std::string& engine = m_records[item.engine].id;
        if (item.kind == event_kind::first) {
            gateway.on_first_event(engine, item.uncached);
        }
        else if (item.kind == event_kind::end) {
            gateway.on_end(engine);
            gateway.on_token_time(engine, 5.1 / m_speed[item.engine], time_of(item.ms));
            if (item.turn < 3) {
                m_events.push({item.ms + 300, event_kind::turn, item.program, item.turn + 1, 0, 0});
            }
        }
        else {
            start_turn(item);
        }
    }

    void start_turn(const event& item)
    {
        const std::size_t g = std::uniform_int_distribution<std::size_t>(0, m_gateways.size() - 1)(m_random);
        target_placement& gateway = m_gateways[g];
        const std::array prompt{
            prompt_block{item.program % 6, 2'560},
            prompt_block{1'000 + item.program, 1'000 + 700 * static_cast<std::uint32_t>(item.turn)}};
        session_location& location = m_sessions[item.program];
        const auto request = turn_of(prompt, m_know_locations ? location : session_location{});
        const target_record* chosen = gateway.choose(pointers(m_records), request, time_of(item.ms));
        REQUIRE(chosen != nullptr);
        const auto e = static_cast<std::size_t>(chosen - m_records.data());
        const std::uint32_t all = prompt[0].tokens + prompt[1].tokens;
        const std::uint32_t cached = location.target == chosen->id ? location.cached_tokens : prompt[0].tokens;
        const std::uint32_t uncached = all - std::min(all, cached);
        const std::uint32_t expected = gateway.uncached_tokens(*chosen, request, time_of(item.ms));
        gateway.on_sent(*chosen, expected);
        const double begin = std::max(item.ms, m_busy_until[e]);
        const double first = begin + uncached / 29.4 / m_speed[e];
        m_busy_until[e] = first;
        location = {chosen->id, all + 34};
        m_first_sum += first - item.ms;
        m_uncached_sum += uncached;
        m_turns += 1;
        m_events.push({first, event_kind::first, item.program, item.turn, g, e, expected});
        m_events.push({first + 34 * 5.1 / m_speed[e], event_kind::end, item.program, item.turn, g, e});
    }

    std::minstd_rand m_random;
    bool m_exchange_loads;
    bool m_know_locations;
    std::vector<target_record> m_records;
    std::vector<double> m_speed;
    std::vector<double> m_busy_until;
    std::vector<target_placement> m_gateways;
    std::priority_queue<event> m_events;
    std::map<std::uint64_t, session_location> m_sessions;
    double m_last_exchange = -1'000;
    double m_first_sum = 0;
    double m_uncached_sum = 0;
    double m_turns = 0;
};

} // namespace

TEST_CASE("gateways that exchange their loads do not all choose the same fast engines in a burst")
{
    double exchanged = 0;
    double isolated = 0;
    for (unsigned seed = 1; seed <= 5; ++seed) {
        exchanged += burst_simulation(seed, true, true).run().mean_first_token_ms;
        isolated += burst_simulation(seed, false, true).run().mean_first_token_ms;
    }
    CAPTURE(exchanged / 5);
    CAPTURE(isolated / 5);
    CHECK(exchanged < 0.8 * isolated);
}

TEST_CASE("turns with a known session location compute fewer prompt tokens again")
{
    double known = 0;
    double unknown = 0;
    for (unsigned seed = 1; seed <= 5; ++seed) {
        known += burst_simulation(seed, true, true).run().uncached_per_turn;
        unknown += burst_simulation(seed, true, false).run().uncached_per_turn;
    }
    CAPTURE(known / 5);
    CAPTURE(unknown / 5);
    CHECK(known < 0.7 * unknown);
}

TEST_CASE("a target that fails its requests quickly does not attract requests")
{
    const std::vector<target_record> records{make_target("bad"), make_target("good")};
    target_placement loads(1);
    const std::array prompt{prompt_block{1, 2'000}, prompt_block{2, 500}};
    int bad = 0;
    for (int n = 0; n < 100; ++n) {
        const timestamp now = seconds(1) + milliseconds(20) * n;
        const target_record* chosen = loads.choose(pointers(records), turn_of(prompt), now);
        loads.on_sent(*chosen, 0);
        if (chosen->id == "bad") {
            ++bad;
            loads.on_end("bad");
            loads.on_failure("bad", now);
        }
        else if (n % 10 == 9) {
            for (int done = 0; done < 5; ++done) {
                loads.on_end("good");
            }
        }
    }
    CHECK(bad < 15);
}

TEST_CASE("failures that another gateway reports count here as well, for some time")
{
    const std::vector<target_record> records{make_target("bad"), make_target("good")};
    target_placement loads(1);
    const std::array prompt{prompt_block{1, 100}};
    loads.on_peer_loads("other", std::array{target_load{"bad", 0, 0, 4}}, seconds(1));
    for (int n = 0; n < 20; ++n) {
        CHECK(loads.choose(pointers(records), turn_of(prompt), seconds(1))->id == "good");
    }
    loads.on_peer_loads("other", {}, seconds(2));
    int chosen_again = 0;
    for (int n = 0; n < 40; ++n) {
        chosen_again += loads.choose(pointers(records), turn_of(prompt), seconds(2))->id == "bad" ? 1 : 0;
    }
    CHECK(chosen_again > 0);
}

// Without the scaling only the requests of the gateways with a recent load report would be counted.
TEST_CASE("if only a part of the gateways reports its load, the reported loads are scaled up to all of them")
{
    const std::vector<target_record> records{make_target("a"), make_target("b")};
    const std::array prompt{prompt_block{1, 100}};
    const auto chosen = [&](std::size_t others) {
        target_placement loads(1);
        loads.set_sampled_peer_count(others);
        for (int n = 0; n < 30; ++n) {
            loads.choose(pointers(records), turn_of(prompt), seconds(1));
            loads.on_sent(records[1], 0);
        }
        for (const char* gateway : {"g1", "g2"}) {
            loads.on_peer_loads(gateway, std::array{target_load{"a", 5, 0, 0}}, seconds(1));
        }
        return loads.choose(pointers(records), turn_of(prompt), seconds(1))->id;
    };
    CHECK(chosen(0) == "a");  // 10 requests at "a", 30 at "b"
    CHECK(chosen(10) == "b"); // about 50 requests at "a"
}

TEST_CASE("a target that refused a request gets none for a short time, and none is chosen if all have refused")
{
    const std::vector<target_record> records{make_target("a"), make_target("b")};
    target_placement loads(1);
    const std::array prompt{prompt_block{1, 100}};
    loads.choose(pointers(records), turn_of(prompt), seconds(1));
    loads.on_refusal("a", seconds(1));
    for (int n = 0; n < 10; ++n) {
        CHECK(loads.choose(pointers(records), turn_of(prompt), seconds(1))->id == "b");
    }
    loads.on_refusal("b", seconds(1));
    CHECK(loads.choose(pointers(records), turn_of(prompt), seconds(1)) == nullptr);
    CHECK(loads.choose(pointers(records), turn_of(prompt), seconds(2)) != nullptr);
}

TEST_CASE("a target with a high work factor gets no requests until the slow phase is over")
{
    const std::vector<target_record> records{make_target("slow"), make_target("usual")};
    target_placement loads(1);
    const std::array prompt{prompt_block{1, 1'000}};
    loads.choose(pointers(records), turn_of(prompt), seconds(1));
    loads.on_report("slow", {1, 0, 48, 2.5}, seconds(1));
    for (int n = 0; n < 10; ++n) {
        CHECK(loads.choose(pointers(records), turn_of(prompt), seconds(1))->id == "usual");
    }
    int chosen_again = 0;
    for (int n = 0; n < 40; ++n) {
        chosen_again += loads.choose(pointers(records), turn_of(prompt), seconds(5))->id == "slow" ? 1 : 0;
    }
    CHECK(chosen_again > 0);
}

TEST_CASE("a restarted target has an empty prefix cache")
{
    std::vector<target_record> records{make_target("a")};
    target_placement loads(1);
    const std::array prompt{prompt_block{1, 100}, prompt_block{2, 100}};
    loads.choose(pointers(records), turn_of(prompt), seconds(1));
    loads.on_prompt("a", prompt, 30, seconds(1));
    CHECK(loads.uncached_tokens(records[0], turn_of(prompt), seconds(1)) == 0);
    records[0].start = 5;
    CHECK(loads.uncached_tokens(records[0], turn_of(prompt), seconds(1)) > 100);
}
