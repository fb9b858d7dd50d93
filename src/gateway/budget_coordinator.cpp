#include "gateway/budget_coordinator.h"

#include "net/pause.h"
#include "net/spawn.h"
#include "util/digest.h"
#include "util/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <span>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Pauses between repetitions of a question to an owner. Two ways and the owner's work take a few milliseconds; the
/// last one leaves time for its write to the store.
constexpr std::array ask_pauses{milliseconds(60), milliseconds(120), milliseconds(350)};

/// An owner that was heard within this time gets the whole of `ask_pauses`, any other only the first two.
constexpr milliseconds heard_lately{1'200};
constexpr std::size_t pauses_for_quiet_owner = 2;

/// Gateways that hold a program's record: its owner and one copy.
constexpr std::size_t record_holders = 2;

/// Time for which an owner that did not answer is passed over.
constexpr milliseconds silence_memory{2'000};

/// Time that the holder of a copy has for its answer.
constexpr std::array copy_pauses{milliseconds(50), milliseconds(150)};

/// Pause of a turn that waits for another decision on its program.
constexpr milliseconds decision_poll{4};
constexpr milliseconds decision_limit{1'500};

/// Tries to write a mark when other writers come between.
constexpr int most_mark_tries = 4;

constexpr milliseconds upkeep_interval{500};

/// Reservations outlast a settlement that got lost, so a settlement is sent twice.
constexpr int settlement_copies = 2;

std::string mark_key(std::string_view program)
{
    // Program ids come from callers and may hold anything.
    return "lagoonferry/budget/" + digest_hex(program).substr(0, 32);
}

std::string mark_text(std::uint64_t high_water_mark, std::string_view writer)
{
    return nlohmann::json{{"level", high_water_mark}, {"writer", writer}}.dump();
}

struct mark_value {
    std::uint64_t high_water_mark = 0;
    std::string writer;
};

std::optional<mark_value> mark_from(const std::string& text)
{
    const nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("level") || !value["level"].is_number_unsigned()) {
        return std::nullopt;
    }
    return mark_value{value["level"].get<std::uint64_t>(), value.value("writer", std::string{})};
}

} // namespace

budget_coordinator::budget_coordinator(asio::any_io_executor loop, fleet_membership& fleet, store_client& store)
    : m_loop(std::move(loop)), m_fleet(fleet), m_store(store)
{
}

void budget_coordinator::start()
{
    m_fleet.on(datagram_kind::budget_ask, [this](const auto& sender, const auto& body) { on_ask(sender, body); });
    m_fleet.on(datagram_kind::budget_reply, [this](const auto& /*sender*/, const auto& body) { on_reply(body); });
    m_fleet.on(datagram_kind::budget_end, [this](const auto& /*sender*/, const auto& body) { on_end(body); });
    m_fleet.on(datagram_kind::copy_ask, [this](const auto& sender, const auto& body) { on_copy_ask(sender, body); });
    m_fleet.on(datagram_kind::copy, [this](const auto& /*sender*/, const auto& body) { on_copy(body); });
    spawn(m_loop, keep_up(), "budget upkeep");
}

// A gateway that was cut off from most others may not have heard what they granted.
bool budget_coordinator::would_know(std::string_view program) const
{
    return m_fleet.well_connected() && m_fleet.is_replica_of(program, record_holders);
}

bool budget_coordinator::silent(const std::string& id) const
{
    const auto it = m_silent_until.find(id);
    return it != m_silent_until.end() && steady_now() < it->second;
}

// The first two by rendezvous hashing hold the record and its copy. The second decides for an owner that is silent,
// or that cannot reach the store while the second may.
asio::awaitable<budget_reply> budget_coordinator::reserve(budget_request request)
{
    std::vector<std::string> owners = m_fleet.ranked(request.program);
    owners.resize(std::min(owners.size(), record_holders));
    budget_reply answer;
    answer.request = request.request;
    for (const std::string& owner : owners) {
        if (owner == m_fleet.own_id()) {
            answer = co_await decide(request);
        }
        else if (!silent(owner)) {
            const auto told = co_await ask(owner, request);
            if (!told) {
                m_silent_until[owner] = steady_now() + silence_memory;
                log(log_part::program, log_level::warning, "The owner of a budget does not answer.",
                    field("owner", owner), field("program", request.program), field("request", request.request));
            }
            answer = told.value_or(answer);
        }
        if (answer.verdict != budget_verdict::undecided) {
            break;
        }
        request.owner_unresponsive = true;
    }
    co_return answer;
}

asio::awaitable<std::optional<budget_reply>> budget_coordinator::ask(const std::string& owner,
                                                                     const budget_request& request)
{
    const auto waiting = std::make_shared<pending_query>(m_loop);
    m_asks[request.request] = waiting;
    const nlohmann::json body = to_json(request);
    const std::size_t pauses = m_fleet.seen_within(owner, heard_lately) ? ask_pauses.size() : pauses_for_quiet_owner;
    for (const milliseconds span : std::span(ask_pauses).first(pauses)) {
        m_fleet.send(owner, datagram_kind::budget_ask, body);
        waiting->wake.expires_after(span);
        co_await waiting->wake.async_wait(no_throw);
        if (waiting->answer) {
            break;
        }
    }
    m_asks.erase(request.request);
    co_return waiting->answer;
}

// Decisions on one program follow one another, because they may wait for the store.
asio::awaitable<budget_reply> budget_coordinator::decide(budget_request request)
{
    const timestamp until = steady_now() + decision_limit;
    while (m_deciding.contains(request.program) && steady_now() < until) {
        co_await pause(m_loop, decision_poll);
    }
    budget_reply answer;
    answer.request = request.request;
    if (!m_deciding.contains(request.program)) {
        m_deciding.insert(request.program);
        answer = co_await decide_alone(request);
        m_deciding.erase(request.program);
    }
    co_return answer;
}

void budget_coordinator::log_decision(const budget_request& request, std::string_view verdict) const
{
    const budget_record* record = m_ledger.find(request.program);
    const budget_record known = record == nullptr ? budget_record{} : *record;
    log(log_part::program, log_level::info, "A turn is weighed against its budget.", field("request", request.request),
        field("program", request.program), field("verdict", verdict), field("tokens", request.tokens),
        field("budget", request.budget), field("used", known.used), field("reserved", known.committed() - known.used),
        field("unmarked", known.unpersisted_limit), field("marked", known.high_water_mark),
        field("mark", known.high_water_mark_revision), field("for_silent_owner", request.owner_unresponsive));
}

asio::awaitable<budget_reply> budget_coordinator::decide_alone(const budget_request& request)
{
    budget_reply answer;
    answer.request = request.request;
    if (request.owner_unresponsive) {
        m_ledger.act_for_owner(request.program);
    }
    // The former owner may live and grant turns as well: it did not hand the record over, or this one is cut off.
    const bool taken_over = !m_owned.contains(request.program) && !m_handed_over.contains(request.program);
    if (taken_over || request.owner_unresponsive || !m_fleet.well_connected()) {
        m_ledger.restrict_unpersisted(request);
    }
    for (int tries = 0; tries < most_mark_tries; ++tries) {
        switch (m_ledger.reserve(request, steady_now())) {
        case ledger_decision::granted:
            answer.verdict = budget_verdict::granted;
            log_decision(request, "granted");
            answer.location = m_ledger.location_of(request.program, request.session);
            m_owned.insert(request.program);
            send_copy(request.program);
            co_return answer;
        case ledger_decision::exhausted:
            answer.verdict = budget_verdict::exhausted;
            log_decision(request, "spent");
            co_return answer;
        case ledger_decision::needs_record:
            co_await find_record(request);
            break;
        case ledger_decision::needs_high_water_mark:
            if (!co_await write_mark(request)) {
                log_decision(request, "undecided");
                co_return answer;
            }
            break;
        }
    }
    co_return answer;
}

asio::awaitable<void> budget_coordinator::find_record(const budget_request& request)
{
    if (would_know(request.program)) {
        m_ledger.start_record(request, true, steady_now());
        co_return;
    }
    const std::string other = m_fleet.other_replica_of(request.program, record_holders);
    bool other_certain = false;
    if (!other.empty() && !silent(other)) {
        const auto waiting = std::make_shared<pending_copy>(m_loop);
        m_copies[request.program] = waiting;
        for (const milliseconds span : copy_pauses) {
            m_fleet.send(other, datagram_kind::copy_ask, to_json(budget_record_request{request.program}));
            waiting->wake.expires_after(span);
            co_await waiting->wake.async_wait(no_throw);
            if (waiting->answer) {
                break;
            }
        }
        m_copies.erase(request.program);
        other_certain = waiting->answer && waiting->answer->sender_authoritative;
    }
    if (m_ledger.find(request.program) == nullptr) {
        const bool fresh = other_certain && !request.owner_unresponsive;
        log(log_part::program, log_level::info, "A program without a record starts.", field("program", request.program),
            field("request", request.request), field("certain", fresh));
        m_ledger.start_record(request, fresh, steady_now());
    }
}

// The same text is written again after a lost answer, so that the late write and its repetition mean the same.
asio::awaitable<bool> budget_coordinator::write_mark(const budget_request& request)
{
    const high_water_mark_write order = m_ledger.required_write(request);
    const std::string key = mark_key(request.program);
    const std::string writer = m_fleet.own_id() + "/" + request.request;
    const std::string text = mark_text(order.high_water_mark, writer);
    const std::array conditions{store_condition{key, order.revision}};
    const std::array items{store_item{key, text, 0, false}};
    if (m_store.out_of_reach()) {
        co_return false;
    }
    store_reply reply = co_await m_store.write(conditions, items);
    if (reply.status == store_status::unknown && !m_store.out_of_reach()) {
        reply = co_await m_store.write(conditions, items);
    }
    if (reply.status == store_status::ok) {
        m_ledger.set_high_water_mark(request.program, order.high_water_mark, reply.revision, true);
        log(log_part::program, log_level::info, "A budget mark is written.", field("program", request.program),
            field("request", request.request), field("level", order.high_water_mark), field("budget", request.budget),
            field("revision", reply.revision));
        co_return true;
    }
    if (reply.status != store_status::conflict) {
        log(log_part::program, log_level::warning, "The store did not take a budget mark.",
            field("program", request.program), field("request", request.request),
            field("level", order.high_water_mark));
        co_return false;
    }
    const auto it = std::ranges::find(reply.found.items, key, &store_item::key);
    const auto present = it == reply.found.items.end() ? std::nullopt : mark_from(it->value);
    if (!present) {
        // The key is gone or unreadable: nothing may be spent beyond what is known here.
        m_ledger.set_high_water_mark(request.program, 0, it == reply.found.items.end() ? 0 : it->revision, false);
        co_return true;
    }
    m_ledger.set_high_water_mark(request.program, present->high_water_mark, it->revision, present->writer == writer);
    log(log_part::program, log_level::info, "A budget mark was found.", field("program", request.program),
        field("request", request.request), field("level", present->high_water_mark), field("budget", request.budget),
        field("writer", present->writer), field("revision", it->revision));
    co_return true;
}

void budget_coordinator::on_ask(const std::string& sender, const nlohmann::json& body)
{
    const auto request = budget_request_from(body);
    if (request && m_answering.insert(request->request).second) {
        spawn(m_loop, answer_ask(sender, *request), "budget answer");
    }
}

asio::awaitable<void> budget_coordinator::answer_ask(std::string sender, budget_request request)
{
    const budget_reply answer = co_await decide(request);
    m_answering.erase(request.request);
    m_fleet.send(sender, datagram_kind::budget_reply, to_json(answer));
}

void budget_coordinator::on_reply(const nlohmann::json& body)
{
    const auto answer = budget_reply_from(body);
    if (!answer) {
        return;
    }
    if (const auto it = m_asks.find(answer->request); it != m_asks.end()) {
        it->second->answer = *answer;
        it->second->wake.cancel();
    }
}

void budget_coordinator::settle(const budget_settlement& message)
{
    const auto owners = m_fleet.ranked(message.program);
    if (owners.empty() || owners.front() == m_fleet.own_id()) {
        apply_settlement(message);
        return;
    }
    const nlohmann::json body = to_json(message);
    for (int n = 0; n < settlement_copies; ++n) {
        m_fleet.send(owners.front(), datagram_kind::budget_end, body);
    }
    // The owner may have been passed over when the turn was granted, and the record may be here.
    if (m_owned.contains(message.program)) {
        m_ledger.settle(message, steady_now());
    }
}

void budget_coordinator::on_end(const nlohmann::json& body)
{
    if (const auto message = budget_settlement_from(body)) {
        apply_settlement(*message);
    }
}

void budget_coordinator::apply_settlement(const budget_settlement& message)
{
    const budget_record* record = m_ledger.find(message.program);
    const bool open = record != nullptr && record->reserved.contains(message.request);
    if (m_ledger.settle(message, steady_now()) && open) {
        send_copy(message.program);
    }
}

void budget_coordinator::send_copy(const std::string& program)
{
    const auto order = m_fleet.ranked(program);
    const auto other = std::ranges::find_if(order, [&](const std::string& id) { return id != m_fleet.own_id(); });
    const budget_record* record = m_ledger.find(program);
    if (other != order.end() && record != nullptr) {
        m_fleet.send(*other, datagram_kind::copy,
                     to_json(budget_record_copy{program, *record, would_know(program), false}));
    }
}

void budget_coordinator::on_copy_ask(const std::string& sender, const nlohmann::json& body)
{
    const auto request = budget_record_request_from(body);
    if (!request) {
        return;
    }
    const budget_record* record = m_ledger.find(request->program);
    budget_record_copy copy{request->program, std::nullopt, would_know(request->program), true};
    if (record != nullptr) {
        copy.record = *record;
    }
    m_fleet.send(sender, datagram_kind::copy, to_json(copy));
}

void budget_coordinator::on_copy(const nlohmann::json& body)
{
    const auto copy = budget_record_copy_from(body);
    if (!copy) {
        return;
    }
    if (copy->record && m_owned.contains(copy->program)) {
        m_ledger.merge(copy->program, *copy->record, steady_now());
    }
    else if (copy->record) {
        m_ledger.adopt(copy->program, *copy->record, steady_now());
        if (copy->transfers_ownership) {
            m_handed_over.insert(copy->program);
        }
    }
    if (const auto it = m_copies.find(copy->program); it != m_copies.end() && copy->transfers_ownership) {
        it->second->answer = *copy;
        it->second->wake.cancel();
    }
}

asio::awaitable<void> budget_coordinator::keep_up()
{
    while (true) {
        co_await pause(m_loop, upkeep_interval);
        m_ledger.expire(steady_now());
        std::erase_if(m_handed_over, [this](const std::string& id) { return m_ledger.find(id) == nullptr; });
        std::erase_if(m_owned, [this](const std::string& id) { return m_ledger.find(id) == nullptr; });
        hand_over_to_owners();
    }
}

// Ownership moves when gateways come and go. The record follows.
void budget_coordinator::hand_over_to_owners()
{
    std::erase_if(m_handed_over, [this](const std::string& id) { return m_ledger.find(id) == nullptr; });
    std::erase_if(m_owned, [this](const std::string& program) {
        const auto order = m_fleet.ranked(program);
        if (order.empty() || order.front() == m_fleet.own_id()) {
            return false;
        }
        if (const budget_record* record = m_ledger.find(program)) {
            m_fleet.send(order.front(), datagram_kind::copy,
                         to_json(budget_record_copy{program, *record, would_know(program), true}));
        }
        m_handed_over.erase(program);
        return true;
    });
}

// The copy of a lost owner's record is the last one. Its new keepers would take the program for new without it.
void budget_coordinator::hand_over()
{
    hand_over_to_owners();
    for (const std::string& program : m_ledger.programs()) {
        if (m_owned.contains(program) || !m_fleet.is_last_replica_of(program, record_holders)) {
            continue;
        }
        const nlohmann::json body =
            to_json(budget_record_copy{program, *m_ledger.find(program), would_know(program), true});
        std::vector<std::string> receivers = m_fleet.ranked(program);
        receivers.resize(std::min(receivers.size(), record_holders));
        for (const std::string& id : receivers) {
            m_fleet.send(id, datagram_kind::copy, body);
        }
    }
}

} // namespace lagoonferry
