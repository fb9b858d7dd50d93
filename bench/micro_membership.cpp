#include "membership/member_table.h"
#include "membership/placement.h"
#include "membership/takeover_choice.h"
#include "peer/cluster_key.h"
#include "peer/datagram_codec.h"

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace lagoonferry::bench {

namespace {

constexpr timestamp round_interval = std::chrono::milliseconds(500);
constexpr int warmup_rounds = 20;
constexpr int new_member_rounds = 120;
constexpr std::size_t domain_count = 9;
constexpr std::size_t partitions_per_entry = 6;
constexpr std::uint64_t start_time_ms = 1'780'000'000'000;
constexpr std::size_t peers_per_round = 3;

/// Simulated processes, half of them entry and half dispatch processes, that exchange heartbeat datagrams in virtual
/// time.
class membership_fleet {
public:
    membership_fleet(std::size_t processes, std::size_t targets) : m_key("membership-bench-key")
    {
        std::vector<listed_instance> list;
        for (std::size_t n = 0; n < processes; ++n) {
            m_members.push_back(make_process(n));
            const member& item = m_members.back();
            list.push_back({item.id, item.role, item.address, item.failure_domain, false});
        }
        for (std::size_t n = 0; n < targets; ++n) {
            list.push_back({"engine-" + std::to_string(n), member_role::target, {}, domain_of(n), false});
        }
        const std::size_t before = ::mallinfo2().uordblks;
        for (std::size_t n = 0; n < processes; ++n) {
            m_tables.push_back(
                std::make_unique<member_table>(m_members[n], member_timing{}, std::uint16_t{0}, n + 1, m_now));
            m_tables.back()->merge_instances(list, m_now);
        }
        assign_partitions();
        // Replies to new members are larger than those of the steady state, so these heartbeats use up the rounds in
        // which members count as new.
        for (const auto& table : m_tables) {
            for (int n = 0; n < new_member_rounds; ++n) {
                table->next_heartbeat({}, {}, m_now);
            }
        }
        for (int n = 0; n < warmup_rounds; ++n) {
            round();
        }
        m_table_bytes = (::mallinfo2().uordblks - before) / processes;
        m_bytes = 0;
        m_datagrams = 0;
    }

    /// Runs one heartbeat interval of 500 ms: every process sends its heartbeats and receives the replies.
    void round()
    {
        for (std::size_t n = 0; n < m_tables.size(); ++n) {
            const auto message = encode(n, m_tables[n]->next_heartbeat(m_documents, m_owned[n], m_now));
            for (const member& peer : m_tables[n]->next_peers(peers_per_round, m_now)) {
                const std::size_t to = member_index(peer);
                const auto received = decode(message);
                if (m_tables[to]->receive(received, m_now)) {
                    auto reply = m_tables[to]->reply(received, m_owned[to], m_now);
                    reply.documents = m_documents;
                    m_tables[n]->receive(decode(encode(to, reply)), m_now);
                }
                count(message);
            }
        }
        m_now += round_interval;
        ++m_rounds;
    }

    std::size_t size() const { return m_tables.size(); }
    std::size_t table_bytes() const { return m_table_bytes; }
    double bytes() const { return static_cast<double>(m_bytes); }
    double datagrams() const { return static_cast<double>(m_datagrams); }

private:
    static std::string domain_of(std::size_t n) { return "domain-" + std::to_string(n % domain_count); }

    static member make_process(std::size_t n)
    {
        const bool entry = n % 2 == 0;
        const std::string ip = "10.0." + std::to_string(n / 500) + "." + std::to_string(n / 2 % 250 + 1);
        return {(entry ? "entry-" : "dispatch-") + std::to_string(n),
                first_incarnation(start_time_ms + n),
                member_state::alive,
                entry ? member_role::entry : member_role::dispatch,
                {ip, 8080, 8081, 8082},
                domain_of(n / 2)};
    }

    static std::size_t member_index(const member& item) { return std::stoul(item.id.substr(item.id.find('-') + 1)); }

    void assign_partitions()
    {
        std::vector<member> entries;
        std::ranges::copy_if(m_members, std::back_inserter(entries),
                             [](const member& item) { return item.role == member_role::entry; });
        const placement replica_placement(entries);
        std::vector<head_view> heads;
        m_owned.resize(m_members.size());
        for (std::uint32_t p = 0; p < entries.size() * partitions_per_entry; ++p) {
            const auto replicas = replica_placement.of(p).value_or(partition_placement{});
            heads.push_back({300, replicas.owner, start_time_ms, {}});
            for (const std::string& id : replicas.backups) {
                heads.back().backups.push_back({id, start_time_ms});
            }
            const auto owner = std::ranges::find(m_members, replicas.owner, &member::id);
            m_owned[static_cast<std::size_t>(owner - m_members.begin())].push_back({p, 300});
        }
        for (const auto& table : m_tables) {
            table->set_contacts(replica_peers(table->self().id, heads), m_now);
        }
    }

    std::vector<std::byte> encode(std::size_t from, const heartbeat& message)
    {
        auto bytes =
            encode_datagram({datagram_kind::heartbeat, m_members[from].id, encode_cbor(to_json(message))}, m_key);
        if (!message.wants_reply) {
            count(bytes);
        }
        return bytes;
    }

    heartbeat decode(const std::vector<std::byte>& bytes) const
    {
        const auto message = decode_datagram(bytes, m_key);
        const auto body = message ? decode_cbor(message->body) : std::nullopt;
        if (!body) {
            return {};
        }
        return heartbeat_from_json(*body).value_or(heartbeat{});
    }

    void count(const std::vector<std::byte>& bytes)
    {
        m_bytes += bytes.size();
        ++m_datagrams;
    }

    cluster_key m_key;
    timestamp m_now = std::chrono::seconds(1'000);
    std::vector<member> m_members;
    std::vector<std::unique_ptr<member_table>> m_tables;
    std::vector<std::vector<owned_partition>> m_owned;
    std::vector<document_version> m_documents{round_robin_documents, {"boat-assignment", 300}};
    std::size_t m_table_bytes = 0;
    std::size_t m_bytes = 0;
    std::size_t m_datagrams = 0;
    std::size_t m_rounds = 0;
};

/// Measures one heartbeat interval of 500 ms in the steady state. The counters are per process: percent of a core,
/// bytes and datagrams sent per second of virtual time (without UDP and IP headers), and heap bytes of the member
/// table.
void membership_round(benchmark::State& state)
{
    membership_fleet fleet(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
    for (auto _ : state) {
        fleet.round();
    }
    const double process_seconds = static_cast<double>(state.iterations()) * static_cast<double>(fleet.size()) * 0.5;
    using benchmark::Counter;
    state.counters["core_percent"] = Counter(process_seconds / 100, Counter::kIsRate | Counter::kInvert);
    state.counters["bytes_per_s"] = fleet.bytes() / process_seconds;
    state.counters["datagrams_per_s"] = fleet.datagrams() / process_seconds;
    state.counters["table_bytes"] = static_cast<double>(fleet.table_bytes());
}

} // namespace

BENCHMARK(membership_round)
    ->Args({16, 36})
    ->Args({170, 775})
    ->Args({340, 1'550})
    ->Args({680, 3'100})
    ->Iterations(8)
    ->Unit(benchmark::kMillisecond);

} // namespace lagoonferry::bench
