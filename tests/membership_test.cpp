#include "document/document_table.h"
#include "membership/address_lookup.h"
#include "membership/delegated_task.h"
#include "membership/member_table.h"
#include "membership/partition_owners.h"
#include "membership/placement.h"
#include "membership/takeover_choice.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

using namespace lagoonferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

member entry_member(std::size_t n, std::size_t domains = 3)
{
    const std::string id = "entry-" + std::to_string(n);
    return {id,
            1'700'000'000 + n,
            member_state::alive,
            member_role::entry,
            {"10.0." + std::to_string(n / 250) + "." + std::to_string(n % 250 + 1), 8080, 8081, 8082},
            "domain-" + std::to_string(n % domains)};
}

std::vector<member> entries(std::size_t count)
{
    std::vector<member> result;
    for (std::size_t n = 0; n < count; ++n) {
        result.push_back(entry_member(n));
    }
    return result;
}

member_table table_of(std::size_t n)
{
    return {entry_member(n), {}, 0, n + 1, {}};
}

heartbeat heartbeat_of(const member& sender, std::uint64_t sequence, std::vector<member_update> updates = {})
{
    return {{sender, sequence}, false, std::move(updates), {}, {}, {}, {}};
}

listed_instance row_of(const member& item, bool leaving = false)
{
    return {item.id, item.role, item.address, item.failure_domain, leaving};
}

listed_instance target_row(std::string id, bool leaving = false)
{
    return {std::move(id), member_role::target, {}, "domain-0", leaving};
}

/// Processes that exchange heartbeats in simulated time, with datagram loss.
class fleet {
public:
    /// The last `dispatchers` of the processes are dispatch processes.
    fleet(std::size_t count, unsigned loss_percent, std::size_t dispatchers = 0)
        : m_loss_percent(loss_percent), m_random(7)
    {
        for (std::size_t n = 0; n < count; ++n) {
            member self = entry_member(n, 9);
            self.role = n < count - dispatchers ? member_role::entry : member_role::dispatch;
            tables.push_back(std::make_unique<member_table>(self, member_timing{}, std::uint16_t{0}, n + 1, now));
        }
        std::vector<listed_instance> list;
        for (std::size_t n = 0; n < count; ++n) {
            list.push_back(row_of(tables[n]->self()));
            list.push_back(target_row("target-" + std::to_string(n)));
        }
        for (const auto& table : tables) {
            table->merge_instances(list, now);
        }
        documents.resize(count);
        down.resize(count);
    }

    void run(timestamp time)
    {
        for (const timestamp end = now + time; now < end; now += milliseconds(500)) {
            for (std::size_t n = 0; n < tables.size(); ++n) {
                send_round(n);
            }
        }
    }

    /// Places partitions on the entry processes and sets the contacts that follow from them. Returns the heads.
    std::vector<head_view> share_partitions(std::uint32_t partitions)
    {
        std::vector<member> members;
        for (const auto& table : tables) {
            if (table->self().role == member_role::entry) {
                members.push_back(table->self());
            }
        }
        const placement places(members);
        std::vector<head_view> heads;
        for (std::uint32_t p = 0; p < partitions; ++p) {
            const auto placed = *places.of(p);
            heads.push_back({1, placed.owner, 1, {}});
            for (const std::string& id : placed.backups) {
                heads.back().backups.push_back({id, 1});
            }
        }
        for (const auto& table : tables) {
            table->set_contacts(replica_peers(table->self().id, heads), now);
        }
        return heads;
    }

    /// Runs until `condition` holds for every live process, at most 60 s. Returns the elapsed time.
    template <class Condition>
    timestamp time_until_all(Condition condition)
    {
        const timestamp start = now;
        const auto holds = [&](std::size_t n) { return down[n] || condition(n); };
        while (now - start < seconds(60)) {
            run(milliseconds(500));
            bool all = true;
            for (std::size_t n = 0; n < tables.size(); ++n) {
                all = all && holds(n);
            }
            if (all) {
                break;
            }
        }
        return now - start;
    }

    timestamp now = seconds(1'000);
    std::vector<std::unique_ptr<member_table>> tables;
    std::vector<document_table> documents;
    std::vector<bool> down;
    bool measure_bytes = false;
    std::size_t bytes = 0;

private:
    void send_round(std::size_t n)
    {
        if (down[n]) {
            return;
        }
        const heartbeat message =
            tables[n]->next_heartbeat(documents[n].next_heartbeat(max_heartbeat_documents), {}, now);
        for (const member& peer : tables[n]->next_peers(3, now)) {
            const std::size_t to = std::stoul(peer.id.substr(6));
            if (deliver(message, to)) {
                deliver(tables[to]->reply(message, {}, now), n);
            }
        }
    }

    bool deliver(const heartbeat& message, std::size_t to)
    {
        bytes += measure_bytes ? encoded_bytes(message) : 0;
        if (down[to] || m_random() % 100 < m_loss_percent) {
            return false;
        }
        documents[to].learn(message.sender.subject.id, message.documents);
        for (const document_fetch& fetch : documents[to].start_fetches(now)) {
            documents[to].install(documents[std::stoul(fetch.peer.substr(6))].find(fetch.service)->record);
        }
        return tables[to]->receive(message, now);
    }

    unsigned m_loss_percent;
    std::minstd_rand m_random;
};

document_record small_record(std::uint64_t version)
{
    const nlohmann::json by_class{{"safety", 1}, {"interactive", 1}, {"normal", 1}, {"bulk", 1}};
    const auto each = [&](const nlohmann::json& value) {
        nlohmann::json result;
        for (const auto& [name, unused] : by_class.items()) {
            result[name] = value;
        }
        return result;
    };
    const nlohmann::json body{
        {"service", "s"},
        {"owner_team", "t"},
        {"accounts", nlohmann::json::array()},
        {"models", nlohmann::json::array()},
        {"tools", nlohmann::json::array()},
        {"classes", each({{"first_token_ms", 1}, {"between_tokens_ms", 1}, {"program_ms", 1}})},
        {"priorities", each({{"engine_priority", 0}, {"headroom_percent", 0}})},
        {"budgets", {{"tokens", 1}, {"calls", 1}, {"money_micro", 0}, {"mark_share_percent", 25}}},
        {"objectives", each({{"good_percent", 99}, {"window_days", 28}})},
    };
    return {"s", version, "w", "a", 0, body};
}

} // namespace

TEST_CASE("a heartbeat is decoded from its encoding, and invalid ones are rejected")
{
    heartbeat message = heartbeat_of(entry_member(1), 7, {{entry_member(2), 9}});
    message.wants_reply = true;
    message.updates.front().subject.address.ip = "fd00::1";
    message.targets = {{"target-1", 1, member_state::leaving}, {"target-12", 1, member_state::leaving},
                       {"target-2", 1, member_state::gone},    {"target-3", 2, member_state::gone},
                       {"tar", 2, member_state::gone},         {"other", 2, member_state::gone}};
    message.documents = {{"boat-assignment", 12}};
    message.partitions = {{3, 2}, {31, 900}};
    message.last_seen_entries = {{5, 0}, {6, 3 * last_seen_unit_ms}, {40'000, max_last_seen_ms}};
    const nlohmann::json encoded = to_json(message);
    CHECK(heartbeat_from_json(encoded) == message);
    const auto rejects = [&](const char* pointer, const nlohmann::json& value) {
        nlohmann::json damaged = encoded;
        damaged[nlohmann::json::json_pointer(pointer)] = value;
        return !heartbeat_from_json(damaged);
    };
    CHECK(rejects("/m", 1));
    CHECK(rejects("/m/0", std::string(33, 'a')));
    CHECK(rejects("/m/0", "a b"));
    CHECK(rejects("/m/5", 70'000));
    CHECK(rejects("/m/3", 2));
    CHECK(rejects("/u/0/2", 3));
    CHECK(rejects("/u/0/1", -1));
    CHECK(rejects("/u/0/10", 0));
    CHECK(rejects("/u/0/4", 4'294'967'296));
    CHECK(rejects("/u/0/13", 0));
    CHECK(rejects("/t/0/0", 3));
    CHECK(rejects("/t/0/1", -1));
    CHECK(rejects("/t/0/2", 1));
    CHECK(rejects("/t/0/3", "a b"));
    CHECK(rejects("/t/0/5", 1));
    CHECK(rejects("/t/0/4", 9));
    CHECK(rejects("/t/0", {1, 0, 0}));
    CHECK(rejects("/t/1", {1, 0}));
    CHECK(rejects("/t", std::vector<nlohmann::json>(201, {0, 0, 0, "t"})));
    CHECK(rejects("/d/0", "boat-assignment"));
    CHECK(rejects("/o", {1, 2, 3}));
    CHECK(rejects("/o", {1, "x"}));
    CHECK(rejects("/u", nlohmann::json(9, encoded["u"][0])));
    CHECK_FALSE(heartbeat_from_json(nlohmann::json::array()));
}

TEST_CASE("a datagram holds eight updates of typical size, and at least four with the longest names")
{
    const auto size_with = [](const member& sample, std::size_t& updates) {
        member_table table(sample, {}, 0, 1, {});
        for (std::size_t n = 0; n < 30; ++n) {
            member other = sample;
            other.id.replace(other.id.size() - 2, 2, std::to_string(n + 10));
            table.receive(heartbeat_of(other, 1), {});
        }
        const heartbeat message =
            table.next_heartbeat({{std::string(20, 's'), 300}}, {{10, 5}, {20, 5}, {30, 5}}, seconds(1));
        updates = message.updates.size();
        return encoded_bytes(message);
    };
    std::size_t updates = 0;
    CHECK(size_with(entry_member(110), updates) <= max_heartbeat_bytes);
    CHECK(updates == max_heartbeat_updates);
    member longest = entry_member(110);
    longest.id = std::string(32, 'i');
    longest.failure_domain = std::string(16, 'd');
    longest.address = {"fd00:1111:2222:3333:4444:5555:6666:7777", 65'535, 65'535, 65'535};
    CHECK(size_with(longest, updates) <= max_heartbeat_bytes);
    CHECK(updates >= 4);
}

TEST_CASE("leaving is final for an incarnation and overrides the instance list")
{
    member_table table = table_of(0);
    const member other = entry_member(1);
    table.receive(heartbeat_of(other, 1), seconds(1));
    CHECK(table.mark_leaving(other.id, seconds(1)));
    table.receive(heartbeat_of(other, 2), seconds(2));
    table.merge_instances(std::array{row_of(other)}, seconds(2));
    CHECK(table.find(other.id)->state == member_state::leaving);
    CHECK(table.usable(member_role::entry, seconds(2)).size() == 1);
    member restarted = other;
    ++restarted.incarnation;
    table.receive(heartbeat_of(restarted, 1), seconds(3));
    CHECK(table.find(other.id)->state == member_state::alive);
    table.receive(heartbeat_of(other, 9), seconds(3));
    CHECK(table.find(other.id)->incarnation == restarted.incarnation);
    CHECK_FALSE(table.mark_leaving("unknown", seconds(3)));
}

// Guards the gossip of last-seen times. Without it each process sends a heartbeat to each other one every second: with
// 300 gateways, 600 datagrams a second of each.
TEST_CASE("in a fleet of 340 gossip keeps live members reachable, and a failed failure domain is detected within 4 s")
{
    constexpr std::size_t size = 340;
    constexpr std::size_t peers = 4;
    constexpr timestamp round = milliseconds(400);
    std::minstd_rand random(11);
    timestamp now = seconds(100);
    std::vector<std::unique_ptr<member_table>> tables;
    std::vector<listed_instance> list;
    for (std::size_t n = 0; n < size; ++n) {
        member_timing timing;
        timing.suspicion = milliseconds(1'400);
        timing.presumed_down = milliseconds(2'200);
        timing.bootstrap_rounds = 5;
        tables.push_back(std::make_unique<member_table>(entry_member(n, 9), timing, std::uint16_t{0}, n + 1, now));
        list.push_back(row_of(tables[n]->self()));
    }
    std::set<std::string, std::less<>> all;
    std::ranges::transform(list, std::inserter(all, all.end()), &listed_instance::id);
    for (const auto& table : tables) {
        table->merge_instances(list, now);
        table->set_contacts(all, now);
        table->set_gossip(true);
    }
    std::vector<bool> down(size);
    std::size_t bytes = 0;
    const auto run = [&](timestamp span) {
        for (const timestamp end = now + span; now < end; now += round) {
            for (std::size_t n = 0; n < size; ++n) {
                if (down[n]) {
                    continue;
                }
                const auto message = tables[n]->next_heartbeat({}, {}, now);
                bytes += n == 0 ? peers * encoded_bytes(message) : 0;
                for (const member& peer : tables[n]->next_peers(peers, now)) {
                    const std::size_t to = std::stoul(peer.id.substr(6));
                    const bool lost = down[to] || random() % 100 < 2;
                    if (!lost && tables[to]->receive(message, now)) {
                        tables[n]->receive(tables[to]->reply(message, {}, now), now);
                    }
                }
            }
        }
    };
    // Counts the pairs of a live member and another one, failed if `of_failed`, that it rates `min_liveness` or worse.
    const auto pairs = [&](bool of_failed, member_liveness min_liveness) {
        std::size_t count = 0;
        for (std::size_t n = 0; n < size; ++n) {
            for (std::size_t other = 0; !down[n] && other < size; ++other) {
                const bool matches = tables[n]->liveness(tables[other]->self().id, now) >= min_liveness;
                count += down[other] == of_failed && matches ? 1 : 0;
            }
        }
        return count;
    };
    run(seconds(4));
    bytes = 0;
    std::size_t presumed_down = 0;
    constexpr int observed_s = 10;
    for (int n = 0; n < observed_s; ++n) {
        run(seconds(1));
        presumed_down += pairs(false, member_liveness::presumed_down);
    }
    CHECK(presumed_down == 0);
    MESSAGE("heartbeat bytes sent per second: " << bytes / observed_s);
    CHECK(bytes / observed_s <= 11'000); // limit of the control traffic of a node

    std::size_t lost = 0;
    for (std::size_t n = 0; n < size; ++n) {
        down[n] = tables[n]->self().failure_domain == tables[0]->self().failure_domain;
        lost += down[n] ? 1 : 0;
    }
    run(seconds(4));
    CHECK(pairs(true, member_liveness::presumed_down) == lost * (size - lost));
    CHECK(pairs(false, member_liveness::presumed_down) == 0);
}

// Callers that cache the usable members refresh them when this counter changes. Otherwise a leaving member would get
// work until the next periodic liveness check.
TEST_CASE("members that join, leave or restart are counted as changes, and plain heartbeats are not")
{
    member_table table = table_of(0);
    const member other = entry_member(1);
    std::uint64_t seen = table.change_count();
    const auto changed = [&] { return std::exchange(seen, table.change_count()) != seen; };
    table.receive(heartbeat_of(other, 1), seconds(1));
    CHECK(changed());
    table.receive(heartbeat_of(other, 2), seconds(2));
    table.update_last_seen(other.id, seconds(2));
    CHECK_FALSE(changed());
    member leaving = other;
    leaving.state = member_state::leaving;
    table.receive(heartbeat_of(leaving, 3), seconds(3));
    CHECK(changed());
    member restarted = other;
    ++restarted.incarnation;
    table.receive(heartbeat_of(restarted, 1), seconds(4));
    CHECK(changed());
}

TEST_CASE("a lagging instance list does not mark a new incarnation as leaving")
{
    member_table table = table_of(0);
    member other = entry_member(1);
    table.receive(heartbeat_of(other, 1), seconds(1));
    table.merge_instances(std::array{row_of(other)}, seconds(2));
    table.merge_instances(std::array{row_of(other, true)}, seconds(4));
    CHECK(table.find(other.id)->state == member_state::leaving);
    ++other.incarnation;
    table.receive(heartbeat_of(other, 1), seconds(5));
    table.merge_instances(std::array{row_of(other, true)}, seconds(6));
    CHECK(table.find(other.id)->state == member_state::alive);
    table.receive(heartbeat_of(other, 2), seconds(70));
    table.merge_instances(std::array{row_of(other, true)}, seconds(70));
    CHECK(table.find(other.id)->state == member_state::leaving);
}

TEST_CASE("a member that is no longer listed is gone only when it also sends nothing")
{
    member_table table = table_of(0);
    const member other = entry_member(1);
    table.receive(heartbeat_of(other, 1), seconds(1));
    table.merge_instances(std::array{row_of(other)}, seconds(2));
    CHECK(table.listed(other.id) == true);
    for (int n = 3; n < 10; ++n) {
        table.receive(heartbeat_of(other, static_cast<std::uint64_t>(n)), seconds(n));
        table.merge_instances({}, seconds(n));
        CHECK(table.find(other.id)->state == member_state::alive);
    }
    CHECK(table.listed(other.id) == false);
    table.merge_instances({}, seconds(13));
    CHECK(table.find(other.id)->state == member_state::gone);
    CHECK(table.liveness(other.id, seconds(13)) == member_liveness::presumed_down);
}

TEST_CASE("a live process that others regard as gone is informed and refutes that with a new incarnation")
{
    member_table table = table_of(0);
    member_table live_process = table_of(1);
    member gone = live_process.self();
    gone.state = member_state::gone;
    table.receive(heartbeat_of(entry_member(2), 1, {{gone, 0}}), seconds(1));
    const heartbeat message = live_process.next_heartbeat({}, {}, seconds(1));
    table.receive(message, seconds(1));
    CHECK(table.find(gone.id)->state == member_state::gone);
    live_process.receive(table.reply(message, {}, seconds(1)), seconds(1));
    CHECK(live_process.self().incarnation == gone.incarnation + 1);
    table.receive(live_process.next_heartbeat({}, {}, seconds(1)), seconds(2));
    CHECK(table.find(gone.id)->state == member_state::alive);
    CHECK_FALSE(live_process.superseded());
}

TEST_CASE("a process is informed by others that it is leaving or superseded")
{
    member_table table = table_of(0);
    member subject = table.self();
    subject.state = member_state::leaving;
    table.receive(heartbeat_of(entry_member(1), 1, {{subject, 0}}), seconds(1));
    CHECK(table.self().state == member_state::leaving);
    CHECK_FALSE(table.superseded());
    table.receive(heartbeat_of(subject, 1), seconds(1));
    CHECK_FALSE(table.superseded());
    ++subject.incarnation;
    table.receive(heartbeat_of(entry_member(1), 2, {{subject, 0}}), seconds(1));
    CHECK(table.superseded());

    // The seed of the newer process may be its predecessor, the only process that it knows so far.
    member_table seed = table_of(0);
    seed.receive(heartbeat_of(subject, 1), seconds(1));
    CHECK(seed.superseded());
}

TEST_CASE("a target is gone after two lists without it and returns with a new incarnation")
{
    member_table table = table_of(0);
    table.merge_instances(std::array{target_row("t")}, seconds(2));
    CHECK_FALSE(table.excluded("t"));
    table.merge_instances({}, seconds(4));
    CHECK_FALSE(table.excluded("t"));
    table.merge_instances({}, seconds(6));
    CHECK(table.excluded("t"));
    table.merge_instances(std::array{target_row("t")}, seconds(8));
    CHECK_FALSE(table.excluded("t"));
    CHECK(table.find("t")->incarnation == 1);
    table.merge_instances(std::array{target_row("t", true)}, seconds(10));
    table.merge_instances(std::array{target_row("t")}, seconds(12));
    CHECK(table.excluded("t"));
}

TEST_CASE("a leaving target is kept before a document names it, and removed after no document does")
{
    member_table table = table_of(0);
    heartbeat message = heartbeat_of(entry_member(1), 1);
    message.targets = {{"t", 0, member_state::leaving}};
    table.receive(message, seconds(1));
    table.next_peers(3, seconds(2));
    table.set_targets({"t", "u"}, seconds(3));
    CHECK(table.excluded("t"));
    CHECK_FALSE(table.excluded("u"));
    CHECK(table.mark_leaving("u", seconds(3)));
    table.set_targets({}, seconds(4));
    table.next_peers(3, seconds(900));
    CHECK_FALSE(table.find("t"));
}

TEST_CASE("a member without heartbeats is suspected after 3 s and presumed down after 6 s")
{
    member_table table = table_of(0);
    const std::string id = entry_member(1).id;
    table.receive(heartbeat_of(entry_member(1), 5), seconds(10));
    CHECK(table.liveness(id, milliseconds(12'999)) == member_liveness::reachable);
    CHECK(table.liveness(id, seconds(13)) == member_liveness::suspected);
    CHECK(table.liveness(id, seconds(16)) == member_liveness::presumed_down);
    table.receive(heartbeat_of(entry_member(2), 1, {{entry_member(1), 6, 5'000}}), seconds(16));
    CHECK(table.liveness(id, seconds(16)) == member_liveness::suspected);
    table.receive(heartbeat_of(entry_member(2), 2, {{entry_member(1), 6, 500}}), seconds(16));
    CHECK(table.liveness(id, seconds(16)) == member_liveness::reachable);
    table.update_last_seen(id, seconds(20));
    CHECK(table.liveness(id, seconds(22)) == member_liveness::reachable);
    table.receive(heartbeat_of(entry_member(1), 9), seconds(21));
    CHECK(table.liveness(id, seconds(23)) == member_liveness::reachable);
    CHECK(table.liveness("unknown", seconds(22)) == member_liveness::presumed_down);
}

TEST_CASE("in a fleet of 16 with 2% loss no live member is presumed down, and a failed one is within 8 s")
{
    fleet all(16, 2);
    all.run(seconds(10));
    all.measure_bytes = true;
    for (int n = 0; n < 120; ++n) {
        all.run(seconds(1));
        for (const auto& table : all.tables) {
            REQUIRE(table->usable(member_role::entry, all.now).size() == 16);
        }
    }
    const std::size_t rate = all.bytes / 16 / 120;
    MESSAGE("heartbeats of an idle fleet of 16: " << rate << " bytes per second and process");
    CHECK(rate < 5'000);
    all.down[5] = true;
    const timestamp time = all.time_until_all(
        [&](std::size_t n) { return all.tables[n]->liveness("entry-5", all.now) == member_liveness::presumed_down; });
    MESSAGE("a failed member is presumed down everywhere after " << time.count() / 1000 << " ms");
    CHECK(time >= seconds(5));
    CHECK(time <= seconds(8));
}

TEST_CASE("in a fleet of 340 leaving members and a new document reach every process within their time limits")
{
    fleet all(340, 2);
    all.run(seconds(10));
    all.tables[17]->mark_leaving("target-11", all.now);
    const timestamp target_time =
        all.time_until_all([&](std::size_t n) { return all.tables[n]->excluded("target-11"); });
    MESSAGE("a leaving target is known to 340 processes after " << target_time.count() / 1000 << " ms");
    CHECK(target_time < seconds(5));
    all.documents[200].install(small_record(1));
    const timestamp document_time =
        all.time_until_all([&](std::size_t n) { return all.documents[n].find("s") != nullptr; });
    MESSAGE("a document is in force in 340 processes after " << document_time.count() / 1000 << " ms");
    CHECK(document_time < seconds(6));
    const auto group = [](auto action) {
        for (int n = 40; n < 80; ++n) {
            action("target-" + std::to_string(n));
        }
    };
    group([&](const std::string& id) { REQUIRE(all.tables[8]->mark_leaving(id, all.now)); });
    const timestamp group_time = all.time_until_all([&](std::size_t n) {
        bool excluded = true;
        group([&](const std::string& id) { excluded = excluded && all.tables[n]->excluded(id); });
        return excluded;
    });
    MESSAGE("a leaving group of 40 targets is known to 340 processes after " << group_time.count() / 1000 << " ms");
    CHECK(group_time < seconds(5));
    all.tables[3]->mark_leaving("entry-100", all.now);
    const timestamp entry_time = all.time_until_all(
        [&](std::size_t n) { return all.tables[n]->find("entry-100")->state == member_state::leaving; });
    CHECK(entry_time < seconds(5));
}

TEST_CASE("340 targets that are marked as leaving at once on one process reach 340 processes within 5 s")
{
    fleet all(340, 2);
    all.run(seconds(10));
    const auto excludes_all = [&](std::size_t n) {
        for (int target = 0; target < 340; ++target) {
            if (!all.tables[n]->excluded("target-" + std::to_string(target))) {
                return false;
            }
        }
        return true;
    };
    for (int target = 0; target < 340; ++target) {
        REQUIRE(all.tables[8]->mark_leaving("target-" + std::to_string(target), all.now));
    }
    const timestamp time = all.time_until_all(excludes_all);
    MESSAGE("340 leaving targets are known to 340 processes after " << time.count() / 1000 << " ms");
    CHECK(time < seconds(5));
}

TEST_CASE("replies to a process in its first minute carry all members, and later ones only pending updates")
{
    member_table table = table_of(0);
    for (std::size_t n = 1; n < 100; ++n) {
        table.receive(heartbeat_of(entry_member(n), 1), seconds(1));
    }
    table.next_peers(3, seconds(1));
    for (int n = 0; n < 200; ++n) {
        table.next_heartbeat({}, {}, seconds(1));
    }
    std::set<std::string> received;
    for (std::uint64_t round = 1; round <= 120; ++round) {
        const heartbeat reply = table.reply(heartbeat_of(entry_member(1), round), {}, seconds(1));
        CHECK(encoded_bytes(reply) <= max_heartbeat_bytes);
        for (const member_update& update : reply.updates) {
            received.insert(update.subject.id);
        }
    }
    CHECK(received.size() == 99);
    CHECK(table.reply(heartbeat_of(entry_member(1), 121), {}, seconds(1)).updates.empty());
}

TEST_CASE("a target marked as leaving on an entry process reaches dispatch processes, which are no one's contacts")
{
    fleet all(680, 2, 340);
    all.share_partitions(2'048);
    all.run(seconds(5));
    const auto time_of = [&](int count) {
        for (int target = 0; target < count; ++target) {
            all.tables[8]->mark_leaving("target-" + std::to_string(target), all.now);
        }
        return all.time_until_all([&](std::size_t n) {
            for (int target = 0; target < count; ++target) {
                if (!all.tables[n]->excluded("target-" + std::to_string(target))) {
                    return false;
                }
            }
            return true;
        });
    };
    const timestamp one = time_of(1);
    const timestamp domain = time_of(340);
    MESSAGE("one leaving target is known to 680 processes after " << one.count() / 1000 << " ms, 340 after "
                                                                  << domain.count() / 1000 << " ms");
    CHECK(one < seconds(5));
    CHECK(domain < seconds(5));
}

TEST_CASE("in a fleet of 340 a failed contact is presumed down within 9 s, and no live member is")
{
    fleet all(340, 2);
    const auto contact = [](std::size_t a, std::size_t b) { return a != b && (a + b) % 14 == 0; };
    for (std::size_t n = 0; n < 340; ++n) {
        std::set<std::string, std::less<>> ids;
        for (std::size_t other = 0; other < 340; ++other) {
            if (contact(n, other)) {
                ids.insert(entry_member(other).id);
            }
        }
        all.tables[n]->set_contacts(ids, all.now);
    }
    all.run(seconds(8));
    for (int n = 0; n < 4; ++n) {
        all.run(seconds(2));
        for (const auto& table : all.tables) {
            REQUIRE(table->usable(member_role::entry, all.now).size() == 340);
        }
    }
    all.down[5] = true;
    const timestamp time = all.time_until_all([&](std::size_t n) {
        return !contact(n, 5) || all.tables[n]->liveness("entry-5", all.now) == member_liveness::presumed_down;
    });
    CHECK(time <= seconds(9));
}

TEST_CASE("in a fleet of 340 the backups of a failed owner presume it down within 7 s, and no live member")
{
    fleet all(340, 2);
    const std::vector<head_view> heads = all.share_partitions(2'048);
    std::size_t max_contacts = 0;
    for (const auto& table : all.tables) {
        max_contacts = std::max(max_contacts, replica_peers(table->self().id, heads).size());
    }
    all.run(seconds(8));
    for (int n = 0; n < 20; ++n) {
        all.run(seconds(1));
        for (const auto& table : all.tables) {
            REQUIRE(table->usable(member_role::entry, all.now).size() == 340);
        }
    }
    const std::string failed = entry_member(5).id;
    std::set<std::size_t> backups;
    for (const head_view& head : heads) {
        for (const head_backup& backup : head.owner == failed ? head.backups : std::vector<head_backup>{}) {
            backups.insert(std::stoul(backup.id.substr(6)));
        }
    }
    REQUIRE(backups.size() >= 2);
    all.down[5] = true;
    const timestamp time = all.time_until_all([&](std::size_t n) {
        return !backups.contains(n) || all.tables[n]->liveness(failed, all.now) == member_liveness::presumed_down;
    });
    MESSAGE("with up to " << max_contacts << " contacts, a failed owner is presumed down by its " << backups.size()
                          << " backups after " << time.count() / 1000 << " ms");
    CHECK(time >= seconds(5));
    CHECK(time <= seconds(7));
}

TEST_CASE("partitions are placed by capacity in different failure domains, and few move when a member leaves")
{
    std::vector<member> members = entries(9);
    members[0].capacity = 3;
    const placement before(members);
    std::map<std::string, int> owned;
    for (std::uint32_t p = 0; p < 4'096; ++p) {
        const auto placed = *before.of(p);
        ++owned[placed.owner];
        const auto domain = [&](const std::string& id) {
            return std::ranges::find(members, id, &member::id)->failure_domain;
        };
        REQUIRE(placed.backups.size() == 2);
        CHECK(std::set{domain(placed.owner), domain(placed.backups[0]), domain(placed.backups[1])}.size() == 3);
        CHECK(before.backups_for(p, placed.owner) == placed.backups);
    }
    CHECK(owned["entry-0"] == doctest::Approx(4'096 * 3 / 11).epsilon(0.1));
    CHECK(owned["entry-1"] == doctest::Approx(4'096 / 11).epsilon(0.2));
    members.erase(members.begin() + 4);
    const placement after(members);
    for (std::uint32_t p = 0; p < 4'096; ++p) {
        CHECK((before.of(p)->owner == "entry-4" || before.of(p)->owner == after.of(p)->owner));
    }
    CHECK_FALSE(placement({}).of(1));
}

// If a successor fails during its takeover, both backups must still have their replicas.
TEST_CASE("a member without a replica is preferred to a backup as the successor")
{
    const std::vector<member> members = entries(9);
    const placement all(members);
    const auto placed = *all.of(7);
    std::vector<member> remaining = members;
    std::erase_if(remaining, [&](const member& item) { return item.id == placed.owner; });
    std::vector<member> without_replica = remaining;
    std::erase_if(without_replica, [&](const member& item) {
        return std::ranges::find(placed.backups, item.id) != placed.backups.end();
    });
    CHECK(placement(remaining).successor(7, placed.backups) == placement(without_replica).of(7)->owner);
    std::erase_if(remaining, [&](const member& item) {
        return std::ranges::find(without_replica, item.id, &member::id) != without_replica.end();
    });
    CHECK(placement(remaining).successor(7, placed.backups) == placement(remaining).of(7)->owner);
    CHECK(placement(remaining).successor(7, {}) == placement(remaining).of(7)->owner);
    CHECK_FALSE(placement({}).successor(7, placed.backups));
}

TEST_CASE("an owner and its backups are contacts, and backups of one partition only after its owner has failed")
{
    const std::vector<head_view> heads{{1, "me", 1, {{"a", 1}, {"b", 1}}},
                                       {1, "c", 1, {{"me", 1}, {"d", 1}}},
                                       {1, "", 1, {{"e", 1}, {"me", 1}}},
                                       {1, "f", 1, {{"g", 1}}}};
    CHECK(replica_peers("me", heads) == std::set<std::string, std::less<>>{"a", "b", "c", "e"});
}

// A restarted backup has lost its replica, so it may take over like any other member.
TEST_CASE("a backup has its replica only if its start time is the one in the head")
{
    std::vector<member> members = entries(9);
    for (member& item : members) {
        item.incarnation = first_incarnation(5'000);
    }
    const auto placed = *placement(members).of(7);
    const head_view head{3, placed.owner, 5'000, {{placed.backups[0], 5'000}, {placed.backups[1], 5'000}}};
    std::erase_if(members, [&](const member& item) { return item.id == placed.owner; });
    std::erase_if(members,
                  [&](const member& item) { return item.id != placed.backups[0] && item.id != placed.backups[1]; });
    const auto successor = [&] { return placement(members).successor(7, backups_with_copy(head, members)); };
    const std::string best = placement(members).of(7)->owner;
    const std::string other = best == placed.backups[0] ? placed.backups[1] : placed.backups[0];
    CHECK(backups_with_copy(head, members) == placed.backups);
    CHECK(successor() == best);
    member& restarted = *std::ranges::find(members, other, &member::id);
    ++restarted.incarnation;
    CHECK(backups_with_copy(head, members) == placed.backups);
    restarted.incarnation = first_incarnation(5'001);
    CHECK(backups_with_copy(head, members) == std::vector{best});
    CHECK(successor() == other);
    std::erase_if(members, [&](const member& item) { return item.id == best; });
    CHECK(backups_with_copy(head, members).empty());
    CHECK(successor() == other);
}

TEST_CASE("the owner with the highest epoch is returned, and own partitions are sent in round-robin order")
{
    partition_owners owners("me");
    owners.learn("a", std::array{owned_partition{1, 5}});
    owners.learn("b", std::array{owned_partition{1, 4}, owned_partition{2, 1}});
    CHECK(owners.find(1) == known_owner{"a", 5});
    owners.set_own({{1, 6}, {3, 1}, {4, 1}});
    CHECK(owners.find(1) == known_owner{"me", 6});
    CHECK(owners.next_heartbeat(2) == std::vector{owned_partition{1, 6}, owned_partition{3, 1}});
    CHECK(owners.next_heartbeat(2) == std::vector{owned_partition{4, 1}, owned_partition{1, 6}});
    CHECK(owners.next_heartbeat(9).size() == 3);
    owners.set_own({{3, 1}});
    CHECK_FALSE(owners.find(1));
    CHECK(owners.find(2) == known_owner{"b", 1});
}

TEST_CASE("an owner that restarts under its id has failed as soon as its new start time is known")
{
    member_table table = table_of(0);
    member owner = entry_member(1);
    owner.incarnation = first_incarnation(5'000);
    table.receive(heartbeat_of(owner, 1), seconds(1));
    const head_view head{7, owner.id, process_start(owner.incarnation), {}};
    const auto check = [&](const head_view& view) { return check_owner(view, table.find(owner.id)); };
    CHECK(check(head) == owner_status::usable);
    CHECK(check({8, owner.id, 0, {}}) == owner_status::pending);
    CHECK(check({0, "", 0, {}}) == owner_status::failed);
    CHECK(check_owner(head, std::nullopt) == owner_status::failed);

    // A refuted `gone`: the same process, which still has its memory.
    ++owner.incarnation;
    table.receive(heartbeat_of(owner, 1), seconds(2));
    CHECK(check(head) == owner_status::usable);

    // A restart without a missed heartbeat.
    owner.incarnation = first_incarnation(5'001);
    table.receive(heartbeat_of(owner, 1), seconds(3));
    CHECK(table.liveness(owner.id, seconds(3)) == member_liveness::reachable);
    CHECK(check(head) == owner_status::failed);
    CHECK(check({9, owner.id, 5'001, {}}) == owner_status::usable);
    CHECK(check({10, owner.id, 5'002, {}}) == owner_status::usable);
}

TEST_CASE("each failure domain has one delegate for a task, which changes only when this delegate leaves")
{
    std::vector<member> members = entries(12);
    const auto delegate_ids = delegates(delegated_task::poll_instances, members);
    REQUIRE(delegate_ids.size() == 3);
    CHECK(is_delegate(delegated_task::poll_instances, members, delegate_ids[1]));
    std::erase_if(members, [&](const member& item) { return item.id == delegate_ids[0]; });
    const auto after = delegates(delegated_task::poll_instances, members);
    CHECK(after[0] != delegate_ids[0]);
    CHECK(after[1] == delegate_ids[1]);
    CHECK(after[2] == delegate_ids[2]);
}

TEST_CASE("addresses are ordered by capacity and load, and a changed instance moves only its own callers")
{
    std::vector<member> members = entries(8);
    members[0].capacity = 2;
    address_lookup lookup(seconds(10));
    lookup.update(members);
    const auto first = [&](int caller) { return lookup.order("club", std::to_string(caller), 3).addresses.at(0); };
    std::map<int, std::string> before;
    std::map<std::string, int> share;
    for (int caller = 0; caller < 3'000; ++caller) {
        before[caller] = first(caller);
        ++share[before[caller]];
    }
    CHECK(share["10.0.0.1:8080"] == doctest::Approx(3'000 * 2 / 9).epsilon(0.15));
    members[1].load_percent = 85;
    members[2].load_percent = 45;
    members[3].state = member_state::leaving;
    lookup.update(members);
    int moved = 0;
    for (const auto& [caller, address] : before) {
        const bool changed = first(caller) != address;
        moved += changed ? 1 : 0;
        CHECK((!changed || address == "10.0.0.2:8080" || address == "10.0.0.4:8080"));
    }
    CHECK(moved == doctest::Approx(share["10.0.0.4:8080"] + 0.6 * share["10.0.0.2:8080"]).epsilon(0.2));
    const address_response response = lookup.order("club", "", 20);
    CHECK(response.addresses.size() == 7);
    CHECK(std::ranges::find(response.addresses, "10.0.0.4:8080") == response.addresses.end());
    CHECK(response.ttl == seconds(10));
}

TEST_CASE("a load that oscillates around a threshold moves callers only once")
{
    std::vector<member> members = entries(4);
    address_lookup lookup(seconds(10));
    const auto all_first = [&](std::uint32_t load) {
        members[0].load_percent = load;
        lookup.update(members);
        std::vector<std::string> result;
        for (int caller = 0; caller < 500; ++caller) {
            result.push_back(lookup.order("club", std::to_string(caller), 1).addresses.at(0));
        }
        return result;
    };
    const auto low_load = all_first(60);
    const auto high_load = all_first(66);
    CHECK(high_load != low_load);
    CHECK(all_first(61) == high_load);
    CHECK(all_first(66) == high_load);
    CHECK(all_first(59) == low_load);
}
