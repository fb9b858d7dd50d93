#include "conversation/history_client.h"

#include "conversation/history_messages.h"
#include "net/pause.h"
#include "net/spawn.h"
#include "util/log.h"

#include <algorithm>
#include <array>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Interval at which the registry of nodes is read. A node that replaces another one is not needed sooner, because the
/// others hold all turns.
constexpr milliseconds registry_interval{5'000};
constexpr milliseconds registry_retry{500};

/// Timeout of one call that reads a chain. A node responds within a round trip.
constexpr milliseconds read_timeout{350};

/// Time in which a turn must be kept. The caller has all its events already and waits for the end of the response.
constexpr milliseconds keep_timeout{1'500};

/// Timeout of one put: a round trip and a sync, or several syncs of a slow disk.
constexpr milliseconds put_timeout{600};
constexpr milliseconds put_retry_pause{40};

constexpr milliseconds copy_timeout{4'000};

/// Turns in the platform's store, by id. They are written there when the nodes have not confirmed them after a time in
/// which they nearly always do.
constexpr std::string_view turn_prefix = "lagoonferry/turns/";
constexpr milliseconds store_delay{250};

/// Limit on the value of a key, in bytes, below that of the store.
constexpr std::size_t max_stored_bytes = 700'000;

/// Turns in the store last at least this much longer than asked. The longest lease is that of the store.
constexpr milliseconds lease_margin{10'000};
constexpr milliseconds max_lease{600'000};

} // namespace

std::string_view to_string(turn_lookup result)
{
    constexpr std::array names{std::string_view("found"), std::string_view("does_not_exist"),
                               std::string_view("uncertain")};
    return names.at(static_cast<std::size_t>(result));
}

history_client::history_client(const asio::any_io_executor& loop, settings values, store_client& store)
    : m_loop(loop), m_settings(std::move(values)), m_store(store), m_peers(loop, store),
      m_cache(m_settings.cache_bytes, turn_table::overflow::evict_oldest)
{
}

void history_client::start()
{
    if (!m_started) {
        m_started = true;
        spawn_restarting(
            m_loop, [this] { return follow_registry(); }, "history nodes");
    }
}

asio::awaitable<void> history_client::follow_registry()
{
    while (true) {
        // Only the first read must be up to date: nodes that join later are not needed at once.
        const bool done = co_await m_peers.read_registry(m_peers.all().size() >= needed_copies());
        m_cache.expire(steady_now());
        const bool enough = done && m_peers.all().size() >= needed_copies();
        co_await pause(m_loop, enough ? registry_interval : registry_retry);
    }
}

bool history_client::can_keep() const
{
    return m_peers.known() && (enough_nodes() || !m_store.is_unreachable());
}

bool history_client::enough_nodes() const
{
    const auto reachable =
        std::ranges::count_if(m_peers.all(), [](const auto& pair) { return pair.second->seems_reachable(); });
    return static_cast<std::size_t>(reachable) >= needed_copies();
}

// Reachable nodes first, and those of the own failure domain before others.
std::vector<history_client::peer_ptr> history_client::by_preference() const
{
    std::vector<peer_ptr> order;
    std::ranges::transform(m_peers.all(), std::back_inserter(order), [](const auto& pair) { return pair.second; });
    std::ranges::stable_sort(order, {}, [this](const peer_ptr& item) {
        return std::pair(!item->seems_reachable(), item->failure_domain != m_settings.failure_domain);
    });
    return order;
}

std::string history_client::text_of(std::string_view id) const
{
    std::string text;
    for (const turn_record* turn : m_cache.chain(id)) {
        text += turn->input;
        text += turn->output;
    }
    return text;
}

asio::awaitable<void> history_client::ask(peer_ptr peer, std::string id, std::shared_ptr<lookup_state> state)
{
    std::string request = encode_text(id);
    const auto reply = co_await m_peers.call(peer, history_calls::chain, std::move(request), read_timeout);
    if (reply && reply->status == history_status::ok) {
        if (auto turns = decode_turns(reply->body); turns && !turns->empty()) {
            state->turns = std::move(*turns);
        }
    }
    state->not_found += reply && reply->status == history_status::not_found ? 1 : 0;
    --state->pending;
    if (state->pending == 0 || !state->turns.empty()) {
        state->wake.cancel();
    }
}

asio::awaitable<history_client::found_chain> history_client::find(std::string id)
{
    if (!m_cache.chain(id).empty()) {
        co_return found_chain{turn_lookup::found, text_of(id)};
    }
    const std::vector<peer_ptr> order = by_preference();
    const auto state = std::make_shared<lookup_state>(m_loop);
    // The nearest node has nearly all turns. The others are asked when it has not, or does not respond.
    std::size_t asked = 0;
    for (const std::size_t count : {std::min<std::size_t>(1, order.size()), order.size()}) {
        const std::size_t first = asked;
        state->pending += count - first;
        asked = count;
        for (const peer_ptr& peer : std::span(order).subspan(first, count - first)) {
            spawn(m_loop, ask(peer, id, state), "lookup of a turn");
        }
        while (state->pending > 0 && state->turns.empty()) {
            state->wake.expires_after(read_timeout * 2);
            co_await state->wake.async_wait(use_nothrow_awaitable);
        }
        if (!state->turns.empty()) {
            break;
        }
    }
    if (!state->turns.empty()) {
        co_return remember(state->turns);
    }
    // A turn that exists has a copy at one of any group of nodes that lacks no more than may be lost, or in the store.
    const bool not_at_nodes =
        m_peers.known() && state->not_found > 0 && order.size() - state->not_found <= m_settings.tolerated_losses;
    std::vector<turn_record> stored;
    const store_status status = co_await find_in_store(id, stored);
    if (!stored.empty()) {
        co_return remember(stored);
    }
    const bool proved = not_at_nodes && status == store_status::not_found;
    log(log_part::journal, log_level::info, "A turn was not found.", field("turn", id), field("nodes", order.size()),
        field("without_it", state->not_found), field("store_status", static_cast<int>(status)),
        field("proved", proved));
    co_return found_chain{proved ? turn_lookup::does_not_exist : turn_lookup::uncertain, {}};
}

history_client::found_chain history_client::remember(std::span<const turn_record> turns)
{
    found_chain found{turn_lookup::found, {}};
    for (const turn_record& turn : turns) {
        m_cache.put(turn, 0, steady_now());
        found.text += turn.input;
        found.text += turn.output;
    }
    return found;
}

asio::awaitable<store_status> history_client::find_in_store(std::string id, std::vector<turn_record>& turns)
{
    const std::string key = std::string(turn_prefix) + id;
    const store_reply reply = co_await m_store.read(key);
    if (reply.status == store_status::ok && !reply.found.items.empty()) {
        if (auto decoded = decode_turns(reply.found.items.front().value)) {
            turns = std::move(*decoded);
        }
    }
    co_return reply.status;
}

// One lease serves the turns of a while, so that the store deletes them without a call for each.
asio::awaitable<std::optional<std::uint64_t>> history_client::lease_for(milliseconds retention)
{
    if (m_lease != 0 && loop_clock::now() < m_lease_usable_until) {
        co_return m_lease;
    }
    const milliseconds ttl = std::min(retention * 2 + lease_margin, max_lease);
    const deadline opened_at = loop_clock::now(); // the lease runs from the arrival of the call
    const store_reply reply = co_await m_store.open_lease(ttl);
    if (reply.status != store_status::ok || reply.lease == 0) {
        co_return std::nullopt;
    }
    m_lease = reply.lease;
    m_lease_usable_until = opened_at + ttl - retention - lease_margin;
    co_return m_lease;
}

asio::awaitable<void> history_client::put_in_store(std::shared_ptr<put_state> state)
{
    const auto lease = co_await lease_for(state->record.retention);
    // Without the turns before it, which the cache may have dropped, the turn could not be continued from the store.
    const bool whole = state->record.previous.empty() || !m_cache.chain(state->record.previous).empty();
    std::string value = encode_with_chain(state->record);
    const std::string key = std::string(turn_prefix) + state->record.id;
    if (lease && whole && value.size() <= max_stored_bytes) {
        const std::array items{store_item{key, std::move(value), 0, false, *lease}};
        const std::span<const store_condition> no_conditions;
        const store_reply reply = co_await m_store.write(no_conditions, items);
        state->in_store = reply.status == store_status::ok;
        if (reply.status == store_status::not_found) {
            m_lease = 0; // it has ended
        }
    }
    --state->pending;
    if (state->pending == 0 || state->in_store) {
        state->wake.cancel();
    }
}

std::string history_client::encode_with_chain(const turn_record& record) const
{
    auto turns = m_cache.chain(record.previous);
    turns.push_back(&record);
    return encode_turns(turns);
}

asio::awaitable<void> history_client::put_at(peer_ptr peer, std::shared_ptr<put_state> state)
{
    const std::array single{&state->record};
    std::string body = encode_turns(single);
    while (loop_clock::now() < state->until) {
        const auto timeout = std::min(put_timeout, time_left(state->until));
        std::string request = body;
        const auto reply = co_await m_peers.call(peer, history_calls::put, std::move(request), timeout);
        if (reply && reply->status == history_status::ok) {
            ++state->confirmed;
            break;
        }
        if (reply && reply->status == history_status::previous_missing) {
            std::string whole = encode_with_chain(state->record);
            if (whole == body) {
                break; // the turns before it are not in the cache any more
            }
            body = std::move(whole);
            continue;
        }
        co_await pause(m_loop, put_retry_pause);
    }
    --state->pending;
    if (state->pending == 0 || state->confirmed >= needed_copies()) {
        state->wake.cancel();
    }
}

asio::awaitable<bool> history_client::keep(turn_record record)
{
    const auto state = std::make_shared<put_state>(m_loop);
    state->record = std::move(record);
    state->until = deadline_after(keep_timeout);
    const std::vector<peer_ptr> nodes = by_preference();
    state->pending = nodes.size();
    for (const peer_ptr& peer : nodes) {
        spawn(m_loop, put_at(peer, state), "put of a turn");
    }
    const deadline store_at = enough_nodes() ? deadline_after(store_delay) : loop_clock::now();
    while (state->confirmed < needed_copies() && !state->in_store && (state->pending > 0 || !state->store_asked)) {
        if (!state->store_asked && (state->pending == 0 || loop_clock::now() >= store_at)) {
            state->store_asked = true;
            ++state->pending;
            spawn(m_loop, put_in_store(state), "turn in the store");
        }
        state->wake.expires_at(state->store_asked ? state->until + put_timeout : store_at);
        co_await state->wake.async_wait(use_nothrow_awaitable);
    }
    const bool kept = state->confirmed >= needed_copies() || state->in_store;
    if (kept) {
        m_cache.put(state->record, 0, steady_now());
    }
    log(log_part::journal, kept ? log_level::info : log_level::warning,
        kept ? "A turn is kept." : "A turn could not be kept.", field("turn", state->record.id),
        field("previous", state->record.previous), field("confirmed", state->confirmed),
        field("needed", needed_copies()), field("nodes", nodes.size()), field("in_store", state->in_store));
    co_return kept;
}

asio::awaitable<bool> history_client::empty_node(std::string machine)
{
    if (!m_started || (!m_peers.known() && !co_await m_peers.read_registry(false))) {
        co_return true;
    }
    const auto it = m_peers.all().find(machine);
    if (it == m_peers.all().end()) {
        co_return true;
    }
    const peer_ptr leaving = it->second;
    std::string request;
    const auto retired = co_await m_peers.call(leaving, history_calls::retire, std::move(request), put_timeout);
    std::size_t copies = 0;
    if (retired) {
        for (const peer_ptr& peer : by_preference()) {
            if (peer == leaving) {
                continue;
            }
            request = encode_text(machine);
            const auto reply = co_await m_peers.call(peer, history_calls::copy_from, std::move(request), copy_timeout);
            copies += reply && reply->status == history_status::ok ? 1 : 0;
        }
    }
    const std::size_t others = m_peers.all().size() - 1;
    const bool done = copies >= std::min(needed_copies(), others);
    log(log_part::journal, log_level::info, "A history node is emptied.", field("node", machine),
        field("reachable", retired.has_value()), field("copies", copies), field("others", others), field("done", done));
    if (done) {
        co_await m_peers.remove_registration(machine);
    }
    co_return done;
}

} // namespace lagoonferry
