#include "limits/request_limiter.h"

#include "util/log.h"
#include "util/rendezvous.h"

#include <algorithm>
#include <array>
#include <ranges>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Timeouts of the successive sends of a demand to a gateway. A round trip and the decision take a few milliseconds.
constexpr std::array demand_timeouts{milliseconds(60), milliseconds(120)};

/// Time in which this gateway answers its own demand: longer than a search for the record.
constexpr milliseconds own_demand_timeout{300};

/// Timeout of each request for a record, and the number of times it is sent.
constexpr milliseconds search_timeout{40};
constexpr std::size_t search_sends = 2;

/// Gateways that are asked in turn when those before do not respond.
constexpr std::size_t candidate_count = 4;

/// A record that was lost may have granted requests this much ahead of time.
constexpr milliseconds presumed_debt{600};

/// Time for which a gateway that did not reply is skipped.
constexpr milliseconds silence_retention{2'000};

/// Time for which a gateway that asked for a record counts as its owner, until the ranking here has it too.
constexpr milliseconds yield_retention{1'200};

/// Minimum interval of the copies of one record.
constexpr milliseconds copy_interval{100};

/// When copies are not acknowledged for this time, the owner and the holder of the copy may not reach each other, and
/// both may be asked. Then each grants at most this share.
constexpr milliseconds max_unacked{300};
constexpr double uncertain_share = 0.5;

/// Records that were neither used nor copied for this time are not kept, and a copy of this age is not complete.
constexpr seconds record_retention{10};

/// A lost reply is sent again for this time.
constexpr seconds reply_retention{2};

constexpr milliseconds tidy_interval{500};

timestamp ms_to_span(std::uint32_t ms)
{
    return milliseconds(ms);
}

std::uint32_t span_to_ms(timestamp span)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, std::chrono::ceil<milliseconds>(span).count()));
}

limit_demand demand_of(const limit_request& message)
{
    return {message.wanted, message.starts_program, ms_to_span(message.max_wait_ms)};
}

bool ranks_before(std::string_view a, std::string_view b, std::string_view account)
{
    const std::uint64_t hash = stable_hash(account);
    return rendezvous_weight(hash, a) > rendezvous_weight(hash, b);
}

} // namespace

request_limiter::request_limiter(limiter_environment& environment, std::uint64_t first_id)
    : m_environment(environment), m_next_id(first_id)
{
}

timestamp request_limiter::record_state::last_heard() const
{
    const auto times = heard | std::views::values;
    return times.empty() ? timestamp{} : std::ranges::max(times);
}

bool request_limiter::record_state::heard_within(timestamp span, std::string_view id, timestamp now) const
{
    const auto it = heard.find(id);
    return it != heard.end() && now - it->second <= span;
}

bool request_limiter::is_silent(const std::string& id, timestamp now) const
{
    const auto it = m_silent_until.find(id);
    return it != m_silent_until.end() && now < it->second;
}

std::string request_limiter::owner_of(const std::string& account, timestamp now) const
{
    if (const auto it = m_yielded.find(account); it != m_yielded.end() && now < it->second.second) {
        return it->second.first;
    }
    const std::vector<std::string> order = m_environment.ranked(account);
    return order.empty() ? m_environment.own_id() : order.front();
}

void request_limiter::acquire(const std::string& account, const limit_demand& demanded, timestamp now,
                              result_handler done)
{
    // The owner decides on each program that starts, so that those that run come first.
    const auto granter = m_prepaid.take(account, !demanded.starts_program, now);
    if (granter) {
        done({true, {}, *granter});
        return;
    }
    pending_demand demand;
    demand.message.id = m_next_id++;
    demand.message.account = account;
    demand.message.wanted = demanded.starts_program ? 1 : m_prepaid.expected(account);
    demand.message.starts_program = demanded.starts_program;
    demand.message.max_wait_ms = span_to_ms(demanded.max_wait);
    demand.done = std::move(done);
    demand.candidates.push_back(owner_of(account, now));
    for (const std::string& id : m_environment.ranked(account) | std::views::take(candidate_count)) {
        if (id != demand.candidates.front()) {
            demand.candidates.push_back(id);
        }
    }
    const std::uint64_t id = demand.message.id;
    m_pending.emplace(id, std::move(demand));
    ask_next(id, now);
}

void request_limiter::ask_next(std::uint64_t id, timestamp now)
{
    pending_demand& demand = m_pending.at(id);
    std::vector<std::string>& candidates = demand.candidates;
    while (!candidates.empty() && is_silent(candidates.front(), now)) {
        candidates.erase(candidates.begin());
        demand.message.owner_silent = true;
    }
    demand.sends = 0;
    if (candidates.empty()) {
        decide_locally(id, now);
    }
    else {
        send_demand(demand, now);
    }
}

void request_limiter::send_demand(pending_demand& demand, timestamp now)
{
    if (demand.candidates.front() == m_environment.own_id()) {
        demand.sends = demand_timeouts.size();
        demand.due = now + own_demand_timeout;
        answer(m_environment.own_id(), limit_request(demand.message), now); // may remove the demand
        return;
    }
    demand.due = now + demand_timeouts.at(demand.sends);
    ++demand.sends;
    m_environment.send(demand.candidates.front(), demand.message);
}

// Without an owner each gateway grants an equal part of the limit. They reach the full limit only if none has an owner.
void request_limiter::decide_locally(std::uint64_t id, timestamp now)
{
    const limit_request& message = m_pending.at(id).message;
    limit_reply reply{id, limit_verdict::decided, 0, 0, {}};
    if (const auto limit = m_environment.limit_of(message.account)) {
        const limit_share part{*limit,
                               1.0 / static_cast<double>(std::max<std::size_t>(1, m_environment.gateway_count()))};
        m_local.start(message.account, 0, now);
        const limit_decision decision = m_local.decide(message.account, part, demand_of(message), now);
        reply.granted = decision.granted;
        reply.delay_ms = span_to_ms(decision.delay);
    }
    finish(id, reply, {}, now);
}

void request_limiter::finish(std::uint64_t id, const limit_reply& reply, const std::string& granter, timestamp now)
{
    const auto demand = m_pending.extract(id);
    if (reply.granted > 1) {
        m_prepaid.add(demand.mapped().message.account, {reply.granted - 1, granter, now + prepaid_requests::lifetime},
                      [&](const prepaid_requests::grant& rest) {
                          adjust({demand.mapped().message.account, rest.count, 0}, rest.granter, now);
                      });
    }
    m_finished[id] = {demand.mapped().message.account, granter, now + record_retention};
    demand.mapped().done({reply.granted > 0, ms_to_span(reply.delay_ms), granter});
}

void request_limiter::receive(const std::string& sender, const limit_message& message, timestamp now)
{
    m_silent_until.erase(sender);
    std::visit([&](const auto& item) { on_message(sender, item, now); }, message);
}

void request_limiter::on_message(const std::string& sender, const limit_request& message, timestamp now)
{
    answer(sender, message, now);
}

void request_limiter::on_message(const std::string& sender, const limit_reply& message, timestamp now)
{
    const auto it = m_pending.find(message.id);
    if (it == m_pending.end()) {
        return_late_grant(sender, message, now);
        return;
    }
    pending_demand& demand = it->second;
    if (message.verdict == limit_verdict::decided) {
        finish(message.id, message, sender, now);
        return;
    }
    if (demand.candidates.empty() || demand.candidates.front() != sender) {
        return; // a late reply of a gateway that was taken for silent
    }
    demand.candidates.erase(demand.candidates.begin());
    if (message.verdict == limit_verdict::not_owner && !demand.redirected && message.owner != sender) {
        demand.redirected = true;
        demand.message.decide_anyway = true;
        std::erase(demand.candidates, message.owner);
        demand.candidates.insert(demand.candidates.begin(), message.owner);
    }
    else {
        demand.message.owner_silent = true;
    }
    ask_next(message.id, now);
}

// A gateway that was taken for silent may grant the demand later, after another one has.
void request_limiter::return_late_grant(const std::string& sender, const limit_reply& message, timestamp now)
{
    const auto it = m_finished.find(message.id);
    if (it != m_finished.end() && it->second.granter != sender && message.granted > 0) {
        adjust({it->second.account, message.granted, 0}, sender, now);
        m_finished.erase(it);
    }
}

void request_limiter::forget_after_rejoin()
{
    if (std::exchange(m_rejoins_seen, m_environment.rejoins()) == m_environment.rejoins()) {
        return;
    }
    // Others may have granted requests meanwhile, and copies may have been missed.
    m_owned_before_rejoin = std::exchange(m_owned, {});
    std::ranges::for_each(m_states | std::views::values, [](record_state& state) { state.heard.clear(); });
}

void request_limiter::answer(const std::string& sender, const limit_request& message, timestamp now)
{
    forget_after_rejoin();
    if (const auto it = m_replies.find({sender, message.id}); it != m_replies.end()) {
        m_environment.send(sender, it->second.reply);
        return;
    }
    const std::string& account = message.account;
    if (!m_environment.limit_of(account)) {
        reply(sender, {message.id, limit_verdict::unknown, 0, 0, {}}, now);
        return;
    }
    const std::string owner = owner_of(account, now);
    const bool owns = owner == m_environment.own_id();
    if (!owns && !message.owner_silent && !message.decide_anyway) {
        reply(sender, {message.id, limit_verdict::not_owner, 0, 0, owner}, now);
        return;
    }
    const bool complete = m_owned.contains(account) || (!owns && message.owner_silent);
    if (complete && m_ledger.find(account) != nullptr && !m_searches.contains(account)) {
        decide(sender, message, now);
        return;
    }
    search(account, now);
    record_search& state = m_searches[account];
    const bool known = std::ranges::any_of(
        state.waiting, [&](const auto& item) { return item.first == sender && item.second.id == message.id; });
    if (!known) {
        state.waiting.emplace_back(sender, message);
    }
    if (state.awaited.empty()) {
        end_search(account, now);
    }
}

// Requests the record of an account from the gateways that may have it.
void request_limiter::search(const std::string& account, timestamp now)
{
    const auto [it, added] = m_searches.try_emplace(account);
    if (!added) {
        return;
    }
    it->second.after_rejoin = m_owned_before_rejoin.erase(account) > 0;
    std::vector<std::string> others = m_environment.ranked(account);
    std::erase(others, m_environment.own_id());
    for (const std::string& id : others | std::views::take(replica_count)) {
        if (!is_silent(id, now)) {
            it->second.awaited.insert(id);
        }
    }
    send_search(account, it->second, now);
}

void request_limiter::send_search(const std::string& account, record_search& state, timestamp now)
{
    ++state.sends;
    state.due = now + search_timeout;
    for (const std::string& id : state.awaited) {
        m_environment.send(id, limit_copy{account, limit_copy_purpose::request, false, std::nullopt});
    }
}

// Starts or corrects the record of an account that no other gateway has. While the fleet was the same, no other gateway
// has granted requests of this account, unless its owner is silent but alive.
void request_limiter::complete_record(const std::string& account, timestamp now)
{
    const auto found = m_environment.limit_of(account);
    if (!found) {
        return;
    }
    const request_limit limit = *found;
    const bool owns = owner_of(account, now) == m_environment.own_id();
    const timestamp span = owns ? now - m_environment.settled_since() - presumed_debt : -presumed_debt;
    const double size = request_ledger::capacity(limit_share{limit});
    const double accrued = limit.rate_per_s * std::chrono::duration<double>(span).count();
    const record_state& known = m_states[account];
    if (m_ledger.find(account) == nullptr) {
        const bool is_new = owns && m_environment.would_have_record(account);
        m_ledger.start(account, is_new ? size : std::min(size, accrued), now);
    }
    else if (now - known.last_heard() > record_retention && now - known.used_at > silence_retention) {
        m_ledger.distrust(account, limit, span, now);
    }
}

void request_limiter::end_search(const std::string& account, timestamp now)
{
    const record_search state = std::move(m_searches[account]);
    m_searches.erase(account);
    if (!state.found) {
        complete_record(account, now);
    }
    if (owner_of(account, now) == m_environment.own_id()) {
        m_owned.insert(account);
    }
    for (const auto& [sender, message] : state.waiting) {
        if (state.after_rejoin && sender != m_environment.own_id()) {
            continue; // the sender repeats it unless it has asked another gateway meanwhile
        }
        if (m_ledger.find(account) == nullptr) {
            reply(sender, {message.id, limit_verdict::unknown, 0, 0, {}}, now);
        }
        else if (!m_owned.contains(account) && !message.owner_silent && !message.decide_anyway) {
            reply(sender, {message.id, limit_verdict::not_owner, 0, 0, owner_of(account, now)}, now);
        }
        else {
            decide(sender, message, now);
        }
    }
}

limit_share request_limiter::share_of(const std::string& account, bool owner_silent, timestamp now) const
{
    limit_share part{m_environment.limit_of(account).value_or(request_limit{}), m_environment.reachable_share()};
    const auto it = m_states.find(account);
    const record_state known = it == m_states.end() ? record_state{} : it->second;
    const bool unacked = known.unacked != timestamp{} && now - known.unacked > max_unacked;
    const std::string owner = owner_of(account, now);
    const bool unheard =
        owner_silent && owner != m_environment.own_id() && !known.heard_within(max_unacked, owner, now);
    if (unacked || unheard) {
        part.share = std::min(part.share, uncertain_share);
    }
    return part;
}

void request_limiter::decide(const std::string& sender, const limit_request& message, timestamp now)
{
    const limit_share part = share_of(message.account, message.owner_silent, now);
    limit_reply result{message.id, limit_verdict::decided, message.wanted, 0, {}};
    if (!part.limit.unlimited()) {
        const limit_decision decision = m_ledger.decide(message.account, part, demand_of(message), now);
        result.granted = decision.granted;
        result.delay_ms = span_to_ms(decision.delay);
    }
    if (result.granted > 0) {
        mark_changed(message.account, now);
    }
    else {
        log(log_part::entry, log_level::info, "An account has reached its request limit.",
            field("account", message.account), field("gateway", sender), field("starts", message.starts_program),
            field("level", std::to_string(m_ledger.find(message.account)->level)),
            field("rate", std::to_string(part.limit.rate_per_s)), field("burst", std::to_string(part.limit.burst)),
            field("share", std::to_string(part.share)), field("owner_silent", message.owner_silent),
            field("ms", result.delay_ms));
    }
    reply(sender, result, now);
}

void request_limiter::reply(const std::string& receiver, const limit_reply& message, timestamp now)
{
    if (receiver == m_environment.own_id()) {
        on_message(receiver, message, now);
        return;
    }
    if (message.verdict == limit_verdict::decided) {
        m_replies[{receiver, message.id}] = {message, now + reply_retention};
    }
    m_environment.send(receiver, message);
}

void request_limiter::mark_changed(const std::string& account, timestamp now)
{
    record_state& state = m_states[account];
    state.changed = true;
    state.used_at = now;
    if (now >= state.copy_due) {
        back_up(account, state, now);
    }
}

void request_limiter::back_up(const std::string& account, record_state& state, timestamp now)
{
    state.copy_due = now + copy_interval;
    state.changed = false;
    const std::vector<std::string> order = m_environment.ranked(account);
    const auto it = std::ranges::find_if(order, [&](const std::string& id) { return id != m_environment.own_id(); });
    if (it == order.end()) {
        state.unacked = {};
        return;
    }
    if (state.unacked == timestamp{} || *it != state.copied_to) {
        state.unacked = now;
        state.copied_to = *it;
    }
    send_copy(account, *it, limit_copy_purpose::backup, now);
}

void request_limiter::send_copy(const std::string& account, const std::string& to, limit_copy_purpose purpose,
                                timestamp now)
{
    limit_copy message{account, purpose, m_owned.contains(account), std::nullopt};
    if (m_ledger.find(account) != nullptr) {
        message.record = m_ledger.copy_of(account, share_of(account, false, now), now);
    }
    m_environment.send(to, message);
}

void request_limiter::on_message(const std::string& sender, const limit_copy& message, timestamp now)
{
    forget_after_rejoin();
    const std::string& account = message.account;
    const auto limit = m_environment.limit_of(account);
    const bool sender_first = ranks_before(sender, m_environment.own_id(), account);
    if (message.record && limit) {
        m_ledger.join(account, share_of(account, false, now), *message.record, now);
        m_states[account].heard[sender] = now;
    }
    if (message.purpose == limit_copy_purpose::backup || message.purpose == limit_copy_purpose::request) {
        send_copy(account, sender, limit_copy_purpose::reply, now);
    }
    if (message.purpose == limit_copy_purpose::reply) {
        record_state& state = m_states[account];
        if (sender == state.copied_to) {
            state.unacked = {};
        }
    }
    const bool sender_claims = message.sender_owns || message.purpose == limit_copy_purpose::request;
    if (sender_first && sender_claims && message.purpose != limit_copy_purpose::transfer) {
        m_owned.erase(account);
        m_yielded[account] = {sender, now + yield_retention};
    }
    if (message.purpose == limit_copy_purpose::transfer && owner_of(account, now) == m_environment.own_id()) {
        m_owned.insert(account);
    }
    if (const auto it = m_searches.find(account); it != m_searches.end()) {
        record_search& state = it->second;
        const bool awaited = message.purpose == limit_copy_purpose::reply && state.awaited.erase(sender) > 0;
        state.found = state.found || message.record.has_value();
        if ((awaited && state.awaited.empty()) || (message.record && message.sender_owns)) {
            end_search(account, now);
        }
    }
}

void request_limiter::on_message(const std::string& /*sender*/, const limit_adjustment& message, timestamp now)
{
    adjust(message, m_environment.own_id(), now);
}

void request_limiter::adjust(const limit_adjustment& message, const std::string& granter, timestamp now)
{
    if (granter.empty()) {
        return; // granted from the local part
    }
    if (granter != m_environment.own_id()) {
        m_environment.send(granter, message);
        return;
    }
    m_ledger.give_back(message.account, message.returned, now);
    m_ledger.charge(message.account, message.charged, now);
    if (m_ledger.find(message.account) != nullptr) {
        mark_changed(message.account, now);
    }
}

void request_limiter::give_back(const std::string& account, const std::string& granter, timestamp now)
{
    adjust({account, 1, 0}, granter, now);
}

void request_limiter::charge(const std::string& account, const std::string& granter, timestamp now)
{
    adjust({account, 0, 1}, granter, now);
}

void request_limiter::run_due(timestamp now)
{
    std::vector<std::uint64_t> due;
    for (const auto& [id, demand] : m_pending) {
        if (now >= demand.due) {
            due.push_back(id);
        }
    }
    for (const std::uint64_t id : due) {
        const auto it = m_pending.find(id);
        if (it == m_pending.end()) {
            continue;
        }
        pending_demand& demand = it->second;
        if (demand.sends < demand_timeouts.size()) {
            send_demand(demand, now);
            continue;
        }
        if (demand.candidates.front() != m_environment.own_id()) {
            m_silent_until[demand.candidates.front()] = now + silence_retention;
        }
        demand.candidates.erase(demand.candidates.begin());
        demand.message.owner_silent = true;
        ask_next(id, now);
    }
    std::vector<std::string> searches;
    for (auto& [account, state] : m_searches) {
        if (now >= state.due && state.sends < search_sends) {
            send_search(account, state, now);
        }
        else if (now >= state.due) {
            searches.push_back(account);
        }
    }
    for (const std::string& account : searches) {
        end_search(account, now);
    }
    m_prepaid.expire(now, [&](const std::string& account, const prepaid_requests::grant& rest) {
        adjust({account, rest.count, 0}, rest.granter, now);
    });
    for (auto& [account, state] : m_states) {
        const bool unacked = state.unacked != timestamp{} && now - state.used_at < silence_retention;
        if ((state.changed || unacked) && now >= state.copy_due && m_ledger.find(account) != nullptr) {
            back_up(account, state, now);
        }
    }
    if (now >= m_tidy_due) {
        m_tidy_due = now + tidy_interval;
        tidy(now);
    }
}

timestamp request_limiter::next_due() const
{
    timestamp next = m_tidy_due;
    for (const pending_demand& demand : m_pending | std::views::values) {
        next = std::min(next, demand.due);
    }
    for (const record_search& state : m_searches | std::views::values) {
        next = std::min(next, state.due);
    }
    for (const record_state& state : m_states | std::views::values) {
        if (state.changed || state.unacked != timestamp{}) {
            next = std::min(next, state.copy_due);
        }
    }
    return std::min(next, m_prepaid.next_expiry().value_or(next));
}

void request_limiter::tidy(timestamp now)
{
    forget_after_rejoin();
    std::erase_if(m_finished, [now](const auto& pair) { return now >= pair.second.expires; });
    std::erase_if(m_replies, [now](const auto& pair) { return now >= pair.second.expires; });
    std::erase_if(m_silent_until, [now](const auto& pair) { return now >= pair.second; });
    std::erase_if(m_yielded, [now](const auto& pair) { return now >= pair.second.second; });
    check_ownership(now);
    const auto unused = [&](std::string_view account) {
        const auto limit = m_environment.limit_of(account);
        const auto it = m_states.find(account);
        const timestamp last_use =
            it == m_states.end() ? timestamp{} : std::max(it->second.used_at, it->second.last_heard());
        return !m_owned.contains(account) ? now - last_use > record_retention : !limit || limit->unlimited();
    };
    m_ledger.expire(unused, now);
    m_local.expire([&](std::string_view account) { return now - m_local.find(account)->as_of > record_retention; },
                   now);
    std::erase_if(m_owned, [this](const std::string& account) { return m_ledger.find(account) == nullptr; });
    std::erase_if(m_states, [this](const auto& pair) { return m_ledger.find(pair.first) == nullptr; });
    for (record_state& state : m_states | std::views::values) {
        std::erase_if(state.heard, [now](const auto& pair) { return now - pair.second > record_retention; });
        if (state.unacked != timestamp{} && now - state.used_at >= silence_retention) {
            state.unacked = {};
        }
    }
}

// Ownership changes when gateways join or leave.
void request_limiter::check_ownership(timestamp now)
{
    std::erase_if(m_owned, [&](const std::string& account) {
        const std::string owner = owner_of(account, now);
        if (owner == m_environment.own_id()) {
            return false;
        }
        send_copy(account, owner, limit_copy_purpose::transfer, now);
        return true;
    });
}

void request_limiter::hand_over(timestamp now)
{
    for (const std::string& account : std::exchange(m_owned, {})) {
        for (const std::string& id : m_environment.ranked(account) | std::views::take(replica_count)) {
            send_copy(account, id, limit_copy_purpose::transfer, now);
        }
    }
}

} // namespace lagoonferry
