#include "gateway/budget_coordinator.h"

#include "net/pause.h"
#include "net/spawn.h"
#include "util/bounded_json.h"
#include "util/digest.h"
#include "util/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <span>
#include <tuple>
#include <utility>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Timeouts of the successive sends of a request to an owner. A round trip and the owner's decision take a few
/// milliseconds; the last timeout leaves time for the owner's write to the store.
constexpr std::array request_timeouts{milliseconds(60), milliseconds(120), milliseconds(350)};

/// The request is sent with all of these timeouts to an owner that was seen within this time, and only with the first
/// two to any other.
constexpr milliseconds max_last_seen_age{1'200};
constexpr std::size_t max_requests_to_quiet_owner = 2;

/// Replicas of a program's record: its owner and one backup.
constexpr std::size_t record_replica_count = 2;

/// Time for which an owner that did not reply is skipped.
constexpr milliseconds unresponsive_retention{2'000};

/// Gateways that are asked for a record that is missing here. While gateways return after a failure, its copies are not
/// only at its present replicas.
constexpr std::size_t record_holder_count = 3;

/// Timeouts of the successive sends of a request for a record.
constexpr std::array copy_request_timeouts{milliseconds(50), milliseconds(150)};

/// Polling interval and timeout of a turn that waits for another decision on its program.
constexpr milliseconds decision_poll_interval{4};
constexpr milliseconds decision_timeout{1'500};

/// Attempts to write a high-water mark when other writers conflict.
constexpr int max_write_attempts = 4;

constexpr milliseconds upkeep_interval{500};

/// Minimum time between two checks of who holds copies of the records. It is shorter than the time for which a gateway
/// that was lost still counts as live, so that no change of the replicas is missed.
constexpr milliseconds backup_check_interval{900};

/// Gateways notice the loss of another one at different times, so the copy of an owner may come before the receiver
/// counts as a replica.
constexpr milliseconds max_membership_delay{1'200};

/// Time after a pause or cut in which a gateway requests complete copies of its records.
constexpr milliseconds copy_comparison_period{2'500};

/// A stopping gateway sends this many records at a time, because the send buffer of the socket is limited.
constexpr std::size_t handover_burst = 64;
constexpr milliseconds handover_pause{10};

/// A lost settlement leaves its reservation in place, so each settlement is sent twice.
constexpr int settlement_sends = 2;

std::string high_water_mark_key(std::string_view program)
{
    // Program ids come from callers and may contain any characters.
    return "lagoonferry/budget/" + digest_hex(program).substr(0, 32);
}

std::string high_water_mark_json(std::uint64_t high_water_mark, std::string_view writer)
{
    return nlohmann::json{{"level", high_water_mark}, {"writer", writer}}.dump();
}

struct stored_high_water_mark {
    std::uint64_t high_water_mark = 0;
    std::string writer;
};

std::optional<stored_high_water_mark> parse_high_water_mark(const std::string& text)
{
    const nlohmann::json value = parse_bounded_json(text);
    if (!value.is_object() || !value.contains("level") || !value["level"].is_number_unsigned()) {
        return std::nullopt;
    }
    return stored_high_water_mark{value["level"].get<std::uint64_t>(), value.value("writer", std::string{})};
}

} // namespace

budget_coordinator::budget_coordinator(asio::any_io_executor loop, fleet_membership& fleet, store_client& store)
    : m_loop(std::move(loop)), m_fleet(fleet), m_store(store)
{
}

void budget_coordinator::start()
{
    m_fleet.on(datagram_kind::budget_request,
               [this](const auto& sender, const auto& body) { on_budget_request(sender, body); });
    m_fleet.on(datagram_kind::budget_reply,
               [this](const auto& sender, const auto& body) { on_budget_reply(sender, body); });
    m_fleet.on(datagram_kind::budget_settlement,
               [this](const auto& /*sender*/, const auto& body) { on_settlement(body); });
    m_fleet.on(datagram_kind::record_request,
               [this](const auto& sender, const auto& body) { on_record_request(sender, body); });
    m_fleet.on(datagram_kind::record_copy,
               [this](const auto& sender, const auto& body) { on_record_copy(sender, body); });
    spawn_restarting(
        m_loop, [this] { return run_upkeep(); }, "budget upkeep");
}

// Returns whether this gateway would have the program's record if there is one. A gateway that was partitioned from
// most others may have missed what they granted.
bool budget_coordinator::would_have_record(std::string_view program) const
{
    return m_fleet.well_connected() && m_fleet.is_replica_of(program, record_replica_count);
}

bool budget_coordinator::is_unresponsive(const std::string& id) const
{
    const auto it = m_unresponsive_until.find(id);
    return it != m_unresponsive_until.end() && steady_now() < it->second;
}

// The first two gateways by rendezvous hashing hold the record and its backup. The second one decides when the owner is
// silent, or cannot decide because it does not reach the store.
asio::awaitable<budget_reply> budget_coordinator::reserve(budget_request request)
{
    std::vector<std::string> owners = m_fleet.ranked(request.program);
    owners.resize(std::min(owners.size(), record_replica_count));
    budget_reply reply;
    reply.request = request.request;
    for (const std::string& owner : owners) {
        std::string decided_by = owner;
        if (owner == m_fleet.own_id()) {
            reply = co_await decide_in_turn(request);
        }
        else if (!is_unresponsive(owner)) {
            const auto received = co_await request_from_owner(owner, request);
            if (received) {
                std::tie(decided_by, reply) = std::tie(received->sender, received->reply);
            }
            else {
                m_unresponsive_until[owner] = steady_now() + unresponsive_retention;
                log(log_part::program, log_level::warning, "The owner of a budget does not answer.",
                    field("owner", owner), field("program", request.program), field("request", request.request));
            }
        }
        if (reply.verdict == budget_verdict::granted) {
            m_grants[request.request] = {decided_by, request.program, reply.series};
        }
        if (reply.verdict != budget_verdict::undecided) {
            break;
        }
        request.owner_unresponsive = true;
    }
    co_return reply;
}

asio::awaitable<std::optional<budget_coordinator::received_reply>>
budget_coordinator::request_from_owner(const std::string& owner, const budget_request& request)
{
    const auto pending = std::make_shared<pending_query>(m_loop);
    m_pending_queries[request.request] = pending;
    const nlohmann::json body = to_json(request);
    const std::size_t max_requests =
        m_fleet.seen_within(owner, max_last_seen_age) ? request_timeouts.size() : max_requests_to_quiet_owner;
    for (const milliseconds timeout : std::span(request_timeouts).first(max_requests)) {
        m_fleet.send(owner, datagram_kind::budget_request, body);
        pending->wake.expires_after(timeout);
        co_await pending->wake.async_wait(use_nothrow_awaitable);
        if (pending->reply) {
            break;
        }
    }
    m_pending_queries.erase(request.request);
    co_return pending->reply;
}

// Decisions on one program are serialized, because they may wait for the store.
asio::awaitable<budget_reply> budget_coordinator::decide_in_turn(budget_request request)
{
    const timestamp until = steady_now() + decision_timeout;
    while (m_deciding.contains(request.program) && steady_now() < until) {
        co_await pause(m_loop, decision_poll_interval);
    }
    budget_reply reply;
    reply.request = request.request;
    if (!m_deciding.contains(request.program)) {
        m_deciding.insert(request.program);
        reply = co_await decide(request);
        m_deciding.erase(request.program);
    }
    co_return reply;
}

// While this gateway was paused or cut off, others may have granted turns of the programs that it owned.
void budget_coordinator::release_stale_records()
{
    m_fleet.detect_pause();
    if (std::exchange(m_rejoins_seen, m_fleet.rejoins()) != m_fleet.rejoins()) {
        m_owned.clear();
        m_complete_copies.clear();
        m_backup_receivers.clear();
        m_compare_until = steady_now() + copy_comparison_period;
    }
}

// Returns whether the record here has all granted turns, as far as this gateway can know.
bool budget_coordinator::is_complete(const std::string& program) const
{
    return m_owned.contains(program) || m_complete_copies.contains(program) || m_fleet.gateway_count() == 1;
}

void budget_coordinator::log_decision(const budget_request& request, std::string_view verdict) const
{
    const budget_record* record = m_ledger.find(request.program);
    const budget_record known = record == nullptr ? budget_record{} : *record;
    log(log_part::program, log_level::info, "A turn is weighed against its budget.", field("request", request.request),
        field("program", request.program), field("verdict", verdict), field("tokens", request.tokens),
        field("budget", request.budget), field("used", known.used()),
        field("reserved", known.committed() - known.used()), field("unmarked", known.unpersisted_limit),
        field("marked", known.high_water_mark), field("mark", known.high_water_mark_revision),
        field("for_silent_owner", request.owner_unresponsive));
}

asio::awaitable<budget_reply> budget_coordinator::decide(const budget_request& request)
{
    budget_reply reply;
    reply.request = request.request;
    std::optional<std::uint64_t> compared_at;
    for (int attempt = 0; attempt < max_write_attempts; ++attempt) {
        release_stale_records();
        if (!m_owned.contains(request.program) && compared_at != m_fleet.rejoins()) {
            compared_at = m_fleet.rejoins();
            co_await find_record(request);
            release_stale_records();
        }
        // The former owner may be alive and also grant turns: it did not hand the record over, or this gateway is
        // partitioned.
        if (!m_owned.contains(request.program) || request.owner_unresponsive || !m_fleet.well_connected()) {
            m_ledger.restrict_unpersisted(request);
        }
        switch (m_ledger.reserve(request, steady_now())) {
        case ledger_decision::granted:
            reply.verdict = budget_verdict::granted;
            log_decision(request, "granted");
            reply.location = m_ledger.location_of(request.program, request.session);
            reply.first_turn = m_ledger.is_first_turn(request.program);
            reply.series = m_ledger.find(request.program)->open_series(request.request);
            m_owned.insert(request.program);
            send_backup(request.program);
            co_return reply;
        case ledger_decision::exhausted:
            reply.verdict = budget_verdict::exhausted;
            log_decision(request, "spent");
            co_return reply;
        case ledger_decision::needs_record:
            co_return reply; // expired meanwhile
        case ledger_decision::needs_high_water_mark:
            if (!co_await write_high_water_mark(request)) {
                log_decision(request, "undecided");
                co_return reply;
            }
            break;
        }
    }
    co_return reply;
}

// Completes the record of a program that this gateway does not own yet, or starts it. A copy that is not kept up to
// date lacks turns, and the gateways that have these may be lost.
asio::awaitable<void> budget_coordinator::find_record(const budget_request& request)
{
    // A gateway that became a replica just now, because another one stops, may not have the record yet. If the request
    // was undecided at a replica before this one, the program may be known there.
    const bool is_new =
        m_ledger.find(request.program) == nullptr && would_have_record(request.program) && !request.owner_unresponsive;
    const bool known_unspent = is_new || (co_await request_copies(request) && !request.owner_unresponsive);
    if (m_ledger.find(request.program) != nullptr) {
        if (!is_complete(request.program)) {
            log(log_part::program, log_level::info, "No complete budget record is left of a program.",
                field("program", request.program), field("request", request.request));
            m_ledger.presume_unknown_turns(request.program);
            m_complete_copies[request.program] = steady_now();
        }
        co_return;
    }
    if (!is_new) {
        log(log_part::program, log_level::info, "No budget record exists for a program; creating one.",
            field("program", request.program), field("request", request.request), field("certain", known_unspent));
    }
    m_ledger.start_record(request, known_unspent, steady_now());
    m_owned.insert(request.program);
}

// Requests the record of a program from the gateways that may have it. Returns whether one of them would have it if the
// program had used any tokens.
asio::awaitable<bool> budget_coordinator::request_copies(const budget_request& request)
{
    const auto pending = std::make_shared<pending_copies>(m_loop);
    const std::vector<std::string> owner = m_fleet.others_ranked(request.program, 1);
    std::ranges::copy_if(m_fleet.others_ranked(request.program, record_holder_count),
                         std::inserter(pending->awaited, pending->awaited.end()), [&](const std::string& id) {
                             return !is_unresponsive(id) && !(request.owner_unresponsive && id == owner.front());
                         });
    m_pending_copies[request.program] = pending;
    const nlohmann::json body = to_json(budget_record_request{request.program});
    for (const milliseconds timeout : copy_request_timeouts) {
        if (pending->awaited.empty() || pending->found || pending->certain) {
            break;
        }
        for (const std::string& id : pending->awaited) {
            m_fleet.send(id, datagram_kind::record_request, body);
        }
        pending->wake.expires_after(timeout);
        co_await pending->wake.async_wait(use_nothrow_awaitable);
    }
    m_pending_copies.erase(request.program);
    co_return pending->certain;
}

// After a lost response the same value is written again, so that a late write and its retry are equivalent. The writer
// is named by the series of the record: a mark that was written for a record since lost may be used up.
asio::awaitable<bool> budget_coordinator::write_high_water_mark(const budget_request& request)
{
    const high_water_mark_write required = m_ledger.required_write(request);
    const std::string key = high_water_mark_key(request.program);
    const std::string writer = m_fleet.own_id() + "/" + std::to_string(required.series) + "/" + request.request;
    const std::string text = high_water_mark_json(required.high_water_mark, writer);
    const std::array conditions{store_condition{key, required.revision}};
    const std::array items{store_item{key, text, 0, false}};
    if (m_store.is_unreachable()) {
        co_return false;
    }
    store_reply reply = co_await m_store.write(conditions, items);
    if (reply.status == store_status::unknown && !m_store.is_unreachable()) {
        reply = co_await m_store.write(conditions, items);
    }
    if (reply.status == store_status::ok) {
        m_ledger.set_high_water_mark(request.program, required.high_water_mark, reply.revision, true);
        log(log_part::program, log_level::info, "A budget mark is written.", field("program", request.program),
            field("request", request.request), field("level", required.high_water_mark),
            field("budget", request.budget), field("revision", reply.revision));
        co_return true;
    }
    if (reply.status != store_status::conflict) {
        log(log_part::program, log_level::warning, "The store did not take a budget mark.",
            field("program", request.program), field("request", request.request),
            field("level", required.high_water_mark));
        co_return false;
    }
    const auto it = std::ranges::find(reply.found.items, key, &store_item::key);
    const auto present = it == reply.found.items.end() ? std::nullopt : parse_high_water_mark(it->value);
    if (!present) {
        // The key was removed or is not readable: nothing more than the known spending is allowed.
        m_ledger.set_high_water_mark(request.program, 0, it == reply.found.items.end() ? 0 : it->revision, false);
        co_return true;
    }
    m_ledger.set_high_water_mark(request.program, present->high_water_mark, it->revision, present->writer == writer);
    log(log_part::program, log_level::info, "A budget mark was found.", field("program", request.program),
        field("request", request.request), field("level", present->high_water_mark), field("budget", request.budget),
        field("writer", present->writer), field("revision", it->revision));
    co_return true;
}

void budget_coordinator::on_budget_request(const std::string& sender, const nlohmann::json& body)
{
    const auto request = budget_request_from(body);
    if (request && m_replying.insert(request->request).second) {
        spawn(m_loop, reply_to_request(sender, *request), "budget reply");
    }
}

asio::awaitable<void> budget_coordinator::reply_to_request(std::string sender, budget_request request)
{
    const budget_reply reply = co_await decide_in_turn(request);
    m_replying.erase(request.request);
    m_fleet.send(sender, datagram_kind::budget_reply, to_json(reply));
}

void budget_coordinator::on_budget_reply(const std::string& sender, const nlohmann::json& body)
{
    const auto reply = budget_reply_from(body);
    if (!reply) {
        return;
    }
    if (const auto it = m_pending_queries.find(reply->request); it != m_pending_queries.end()) {
        it->second->reply = {sender, *reply};
        it->second->wake.cancel();
        return;
    }
    // Another gateway has granted this turn meanwhile.
    const auto it = m_grants.find(reply->request);
    if (it != m_grants.end() && reply->verdict == budget_verdict::granted && reply->series != it->second.series) {
        send_settlement(sender, {reply->request, it->second.program, {}, 0, {}, reply->series});
    }
}

// The gateway that granted a turn is certain to know it. The owner has a copy, unless that was lost.
void budget_coordinator::settle(budget_settlement message)
{
    const auto it = m_grants.extract(message.request);
    if (it.empty()) {
        return;
    }
    message.series = it.mapped().series;
    send_settlement(it.mapped().gateway, message);
    const std::vector<std::string> owners = m_fleet.ranked(message.program);
    if (!owners.empty() && owners.front() != it.mapped().gateway) {
        send_settlement(owners.front(), message);
    }
}

void budget_coordinator::send_settlement(const std::string& receiver, const budget_settlement& message)
{
    if (receiver == m_fleet.own_id()) {
        apply_settlement(message);
        return;
    }
    const nlohmann::json body = to_json(message);
    for (int n = 0; n < settlement_sends; ++n) {
        m_fleet.send(receiver, datagram_kind::budget_settlement, body);
    }
}

void budget_coordinator::on_settlement(const nlohmann::json& body)
{
    if (const auto message = budget_settlement_from(body)) {
        apply_settlement(*message);
    }
}

void budget_coordinator::apply_settlement(const budget_settlement& message)
{
    if (m_ledger.settle(message, steady_now())) {
        send_backup(message.program);
    }
}

std::optional<budget_coordinator::backup_receiver>
budget_coordinator::next_backup_receiver(const std::string& program) const
{
    const member* other = m_fleet.first_other(program);
    return other == nullptr ? std::nullopt
                            : std::optional(backup_receiver{other->id, process_start(other->incarnation)});
}

void budget_coordinator::send_backup(const std::string& program)
{
    const auto receiver = next_backup_receiver(program);
    const budget_record* record = m_ledger.find(program);
    if (receiver && record != nullptr) {
        m_fleet.send(receiver->id, datagram_kind::record_copy,
                     to_json(budget_record_copy{program, *record, would_have_record(program), copy_purpose::backup,
                                                is_complete(program)}));
        m_backup_receivers[program] = *receiver;
    }
}

void budget_coordinator::on_record_request(const std::string& sender, const nlohmann::json& body)
{
    const auto request = budget_record_request_from(body);
    if (!request) {
        return;
    }
    const budget_record* record = m_ledger.find(request->program);
    budget_record_copy record_copy{request->program, std::nullopt, would_have_record(request->program),
                                   copy_purpose::reply};
    if (record != nullptr) {
        record_copy.record = *record;
        record_copy.complete = is_complete(request->program);
    }
    m_fleet.send(sender, datagram_kind::record_copy, to_json(record_copy));
}

void budget_coordinator::on_record_copy(const std::string& sender, const nlohmann::json& body)
{
    const auto record_copy = budget_record_copy_from(body);
    if (!record_copy) {
        return;
    }
    const bool reply = record_copy->purpose == copy_purpose::reply;
    if (record_copy->record) {
        m_ledger.join(record_copy->program, *record_copy->record, steady_now());
        if (record_copy->complete) {
            m_complete_copies[record_copy->program] = steady_now();
            const auto other = next_backup_receiver(record_copy->program);
            if (other && other->id == sender) {
                m_backup_receivers[record_copy->program] = *other; // has this copy
            }
        }
        if (record_copy->purpose == copy_purpose::transfer ||
            (reply && record_copy->sender_authoritative && record_copy->complete)) {
            m_owned.insert(record_copy->program);
        }
    }
    const auto it = m_pending_copies.find(record_copy->program);
    if (it != m_pending_copies.end() && reply && it->second->awaited.erase(sender) > 0) {
        it->second->found = it->second->found || (record_copy->record && is_complete(record_copy->program));
        it->second->certain = it->second->certain || record_copy->sender_authoritative;
        if (it->second->awaited.empty()) {
            it->second->wake.cancel();
        }
    }
}

asio::awaitable<void> budget_coordinator::run_upkeep()
{
    while (true) {
        co_await pause(m_loop, upkeep_interval);
        release_stale_records();
        m_ledger.expire(steady_now());
        const auto expired = [this](const auto& pair) { return m_ledger.find(pair.first) == nullptr; };
        std::erase_if(m_owned, [this](const std::string& id) { return m_ledger.find(id) == nullptr; });
        std::erase_if(m_complete_copies, expired);
        std::erase_if(m_backup_receivers, expired);
        hand_over_to_owners();
        co_await renew_backups();
    }
}

// When gateways join, leave or are lost, the replicas of a record change. Those that have all of it send it to the new
// ones, and former replicas do not take their copies for complete any more. Programs may pause, so this does not wait
// for their next turn.
asio::awaitable<void> budget_coordinator::renew_backups()
{
    if (steady_now() - m_backups_renewed_at < backup_check_interval) {
        co_return;
    }
    m_backups_renewed_at = steady_now();
    std::size_t sent = 0;
    for (const std::string& program : m_ledger.programs()) {
        const std::size_t rank = m_fleet.own_rank(program);
        if (rank >= m_fleet.usable().size()) {
            co_return; // this gateway stops
        }
        if (rank >= record_replica_count) {
            m_backup_receivers.erase(program);
            const auto it = m_complete_copies.find(program);
            if (it != m_complete_copies.end() && steady_now() - it->second > max_membership_delay) {
                m_complete_copies.erase(it);
            }
            continue;
        }
        const auto receiver = next_backup_receiver(program);
        const auto known = m_backup_receivers.find(program);
        const bool has_copy = receiver && known != m_backup_receivers.end() && known->second == *receiver;
        if (!receiver || has_copy) {
            continue;
        }
        if (is_complete(program)) {
            send_backup(program);
        }
        else if (steady_now() < m_compare_until) {
            m_fleet.send(receiver->id, datagram_kind::record_request, to_json(budget_record_request{program}));
        }
        else {
            continue;
        }
        if (++sent % handover_burst == 0) {
            co_await pause(m_loop, handover_pause);
        }
    }
}

// Ownership changes when gateways join or leave. The record is sent to the new owner.
void budget_coordinator::hand_over_to_owners()
{
    std::erase_if(m_owned, [this](const std::string& program) {
        const auto order = m_fleet.ranked(program);
        if (order.empty() || order.front() == m_fleet.own_id()) {
            return false;
        }
        if (const budget_record* record = m_ledger.find(program)) {
            m_fleet.send(order.front(), datagram_kind::record_copy,
                         to_json(budget_record_copy{program, *record, would_have_record(program),
                                                    copy_purpose::transfer, true}));
            m_complete_copies[program] = steady_now();
        }
        return true;
    });
}

void budget_coordinator::hand_over()
{
    spawn(m_loop, hand_over_records(), "budget handover");
}

// The other gateways that had a record may have been lost or may stop as well, so each record is sent on, and to both
// of its next replicas. The next owner may grant turns without further questions only if this gateway owns the record:
// a copy may be old.
asio::awaitable<void> budget_coordinator::hand_over_records()
{
    std::size_t sent = 0;
    for (const std::string& program : m_ledger.programs()) {
        const budget_record* record = m_ledger.find(program);
        if (record == nullptr) {
            continue; // expired during a pause
        }
        budget_record_copy copy{program, *record, would_have_record(program), copy_purpose::backup,
                                is_complete(program)};
        copy.purpose = m_owned.erase(program) > 0 ? copy_purpose::transfer : copy_purpose::backup;
        for (const std::string& id : m_fleet.others_ranked(program, record_replica_count)) {
            m_fleet.send(id, datagram_kind::record_copy, to_json(copy));
            copy.purpose = copy_purpose::backup; // for the second replica
        }
        if (++sent % handover_burst == 0) {
            co_await pause(m_loop, handover_pause);
        }
    }
}

} // namespace lagoonferry
