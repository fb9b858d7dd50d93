#include "gateway/target_list_sync.h"

#include "gateway/poll_schedule.h"
#include "membership/delegated_task.h"
#include "net/pause.h"
#include "net/spawn.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Key for which gateways are ranked for polling the store.
constexpr std::string_view rank_key = "targets";

/// Minimum time between two calls to the store of a gateway that has missed a datagram. In a large fleet many gateways
/// miss the same datagrams, and all of them would call the store repeatedly at the same time.
constexpr milliseconds catch_up_interval{400};

/// Minimum time between two calls of the leader, which limits its calls while targets change quickly.
constexpr milliseconds min_call_interval{150};

/// Gateways of a failure domain that relay datagrams, round-robin. Each change is sent twice, so the loss of one relay
/// delays nothing.
constexpr std::size_t relays_per_domain = 2;

/// Field of a datagram that its receiver must relay.
constexpr const char* relay_field = "y";

/// Maximum changes in one datagram. The record of a target takes about 150 bytes.
constexpr std::size_t max_changes = 6;

nlohmann::json to_json(const target_change& change)
{
    nlohmann::json out{{"i", change.id}, {"v", change.revision}, {"x", change.removed}, {"l", change.maybe_lapsed}};
    if (change.maybe_lapsed && change.lapse_grace_left) {
        out["g"] = std::chrono::duration_cast<milliseconds>(*change.lapse_grace_left).count();
    }
    if (change.record) {
        const target_record& record = *change.record;
        out["r"] = {record.service,  record.address, record.failure_domain, record.start,
                    record.sequence, record.slots,   record.draining};
    }
    return out;
}

target_change parse_change(const nlohmann::json& in)
{
    target_change change;
    change.id = in.at("i").get<std::string>();
    change.revision = in.at("v").get<std::uint64_t>();
    change.removed = in.at("x").get<bool>();
    change.maybe_lapsed = in.at("l").get<bool>();
    if (in.contains("g")) {
        change.lapse_grace_left = milliseconds(in.at("g").get<std::int64_t>());
    }
    if (in.contains("r")) {
        const nlohmann::json& fields = in.at("r");
        target_record record;
        record.id = change.id;
        record.service = fields.at(0).get<std::string>();
        record.address = fields.at(1).get<std::string>();
        record.failure_domain = fields.at(2).get<std::string>();
        record.start = fields.at(3).get<std::uint64_t>();
        record.sequence = fields.at(4).get<std::uint64_t>();
        record.slots = fields.at(5).get<std::uint32_t>();
        record.draining = fields.at(6).get<bool>();
        change.record = record;
    }
    return change;
}

} // namespace

target_list_sync::target_list_sync(gateway_context& context) : m_context(context), m_wake(context.loop) {}

void target_list_sync::start()
{
    m_context.fleet.on(datagram_kind::targets, [this](const auto& /*sender*/, const auto& body) { on_changes(body); });
    spawn_restarting(
        m_context.loop, [this] { return run(); }, "target list");
}

bool target_list_sync::is_leader() const
{
    return m_context.fleet.own_rank(rank_key) == 0;
}

timestamp target_list_sync::max_age() const
{
    const poll_timing timing =
        m_context.fleet.is_large() ? large_fleet_timing(m_context.settings.drain_timeout) : poll_timing{};
    return poll_age(m_context.fleet.own_rank(rank_key), timing);
}

timestamp target_list_sync::next_poll_at() const
{
    if (!m_loaded) {
        return steady_now();
    }
    if (is_leader()) {
        return m_last_call_at + min_call_interval;
    }
    const timestamp by_age = m_fresh_at + max_age();
    return m_behind ? std::min(by_age, m_last_call_at + catch_up_interval) : by_age;
}

asio::awaitable<void> target_list_sync::run()
{
    while (true) {
        const timestamp wait = next_poll_at() - steady_now();
        if (wait > timestamp{}) {
            m_wake.expires_after(wait);
            co_await m_wake.async_wait(use_nothrow_awaitable);
            continue;
        }
        // A gateway that only catches up does not forward what it reads: the others would have to catch up in turn.
        const timestamp age = steady_now() - m_fresh_at;
        const bool leader = is_leader();
        const bool by_age = leader || age >= max_age();
        // The leader long-polls and receives changes at once. Any other gateway polls only when it is already late, so
        // it does not wait.
        const bool long_poll = leader && age < poll_age(0);
        const auto timeout = long_poll ? std::chrono::duration_cast<milliseconds>(poll_age(0)) : milliseconds(0);
        m_last_call_at = steady_now();
        const bool done = m_loaded ? co_await read_changes(by_age, timeout) : co_await read_all(by_age);
        if (!done) {
            const timestamp backoff = poll_backoff(m_context.fleet.own_rank(rank_key), m_context.fleet.is_large());
            co_await pause(m_context.loop, std::chrono::duration_cast<milliseconds>(backoff));
        }
    }
}

asio::awaitable<bool> target_list_sync::read_all(bool send_to_others)
{
    const std::uint64_t from = m_context.targets.revision();
    const store_reply reply = co_await m_context.store.read_all(m_context.adapter.layout().targets);
    if (reply.status != store_status::ok) {
        co_return false;
    }
    const auto changes = decode(reply.found.items);
    auto new_changes = m_context.targets.replace(changes, reply.found.revision, steady_now());
    log_changes(new_changes, "list");
    m_fresh_at = steady_now();
    m_loaded = true;
    m_behind = false;
    // The store has dropped history for all gateways, and each one would have to read the whole list otherwise.
    if (send_to_others && from > 0) {
        std::ranges::sort(new_changes, {}, &target_change::revision); // a lost datagram must not hide older changes
        send_changes(from, new_changes);
    }
    co_return true;
}

asio::awaitable<bool> target_list_sync::read_changes(bool send_to_others, milliseconds wait)
{
    const std::uint64_t from = m_context.targets.revision();
    const std::uint64_t received_from =
        m_behind ? m_received_from : 0; // received before this call, so the response covers it
    const store_reply reply = co_await m_context.store.watch(m_context.adapter.layout().targets, from, wait);
    if (reply.status == store_status::compacted) {
        log(log_part::platform, log_level::info,
            "The store has dropped the history of targets; reading the whole list.", field("revision", from));
        m_loaded = false;
        co_return true;
    }
    if (reply.status != store_status::ok) {
        co_return false;
    }
    m_covered_revision = std::max(m_covered_revision, received_from);
    const auto changes = decode(reply.found.items);
    const auto new_changes = m_context.targets.apply(changes, steady_now());
    log_changes(new_changes, "changes");
    // Otherwise the revision of a list without changes would fall behind the history that the store keeps, and all
    // gateways would have to read the whole list again.
    m_context.targets.advance(reply.found.revision);
    m_fresh_at = steady_now();
    m_behind = m_received_from > std::max(m_context.targets.revision(), m_covered_revision);
    if (send_to_others) {
        send_changes(from, new_changes);
    }
    co_return true;
}

std::vector<target_change> target_list_sync::decode(std::span<const store_item> items)
{
    std::vector<target_change> changes;
    const std::string& prefix = m_context.adapter.layout().targets;
    for (const store_item& item : items) {
        if (!item.key.starts_with(prefix)) {
            continue;
        }
        target_change change{item.key.substr(prefix.size()), item.revision, std::nullopt, item.removed};
        if (!item.removed) {
            failure reason;
            change.record = m_context.adapter.read_target(item.key, item.value, reason);
            change.removed = !change.record;
            if (change.removed && m_unusable_entries.insert(item.key).second) {
                log(log_part::platform, log_level::warning, "The entry of a target in the store is not usable.",
                    field("key", item.key), field("revision", item.revision), field("reason", reason.text));
            }
        }
        changes.push_back(std::move(change));
    }
    return changes;
}

void target_list_sync::log_changes(std::span<const target_change> new_changes, std::string_view source)
{
    for (const target_change& item : new_changes) {
        const std::string_view state = !item.record ? "removed" : item.record->draining ? "draining" : "ready";
        log(log_part::dispatch, log_level::info, "A target has changed.", field("target", item.id),
            field("state", state), field("revision", item.revision), field("maybe_lapsed", item.maybe_lapsed),
            field("source", source));
    }
}

void target_list_sync::send_changes(std::uint64_t from, std::span<const target_change> new_changes)
{
    const change_broadcast broadcast = m_repeater.next(from, m_context.targets.revision(), new_changes);
    send_datagrams(broadcast.from, broadcast.changes);
}

// Sends the changes in as many datagrams as needed. Only the last one covers the range up to the present revision.
void target_list_sync::send_datagrams(std::uint64_t from, std::span<const target_change> new_changes)
{
    const std::uint64_t to = m_context.targets.revision();
    ++m_send_count;
    do {
        const auto part = new_changes.first(std::min(new_changes.size(), max_changes));
        new_changes = new_changes.subspan(part.size());
        nlohmann::json body{{"f", from}, {"c", nlohmann::json::array()}};
        std::ranges::transform(part, std::back_inserter(body["c"]), [](const auto& item) { return to_json(item); });
        const bool last = new_changes.empty();
        body["t"] = last ? to : part.back().revision;
        body["l"] = last;
        from = body["t"];
        send_or_relay(body);
    } while (!new_changes.empty());
}

// Broadcasts in a small fleet. In a large one, one gateway of each failure domain relays the datagram.
void target_list_sync::send_or_relay(const nlohmann::json& body)
{
    if (!m_context.fleet.is_large()) {
        m_context.fleet.broadcast(datagram_kind::targets, body);
        return;
    }
    nlohmann::json to_relays = body;
    to_relays[relay_field] = true;
    for (const std::string& id : relays()) {
        if (id == m_context.settings.id) {
            m_context.fleet.send_to_own_domain(datagram_kind::targets, body);
        }
        else {
            m_context.fleet.send(id, datagram_kind::targets, to_relays);
        }
    }
}

std::vector<std::string> target_list_sync::relays() const
{
    const std::vector<member>& usable = m_context.fleet.usable();
    std::map<std::string_view, std::vector<std::string>> by_domain;
    for (std::string& id : delegates(delegated_task::relay_changes, usable, relays_per_domain)) {
        const auto it = std::ranges::find(usable, id, &member::id);
        by_domain[it->failure_domain].push_back(std::move(id));
    }
    std::vector<std::string> chosen;
    std::ranges::transform(by_domain, std::back_inserter(chosen),
                           [this](const auto& pair) { return pair.second[m_send_count % pair.second.size()]; });
    return chosen;
}

void target_list_sync::on_changes(const nlohmann::json& body)
{
    try {
        if (body.contains(relay_field)) {
            nlohmann::json relayed = body;
            relayed.erase(relay_field);
            m_context.fleet.send_to_own_domain(datagram_kind::targets, relayed);
        }
        const auto from = body.at("f").get<std::uint64_t>();
        m_context.targets.note_store_success(steady_now()); // by the sender
        if (!m_loaded) {
            return;
        }
        if (from > std::max(m_context.targets.revision(), m_covered_revision)) {
            m_received_from = std::max(m_received_from, from);
            if (!m_behind) {
                m_behind = true;
                m_wake.cancel();
            }
            return;
        }
        std::vector<target_change> changes;
        std::ranges::transform(body.at("c"), std::back_inserter(changes), parse_change);
        const auto new_changes = m_context.targets.apply_peer_changes(changes, steady_now());
        log_changes(new_changes, "gateway");
        m_context.targets.advance(body.at("t").get<std::uint64_t>());
        if (body.at("l").get<bool>()) {
            m_fresh_at = steady_now();
        }
    }
    catch (const nlohmann::json::exception& error) {
        log(log_part::membership, log_level::warning, "A datagram with target changes is malformed.",
            field("reason", std::string_view(error.what())));
    }
}

} // namespace lagoonferry
