#include "conversation/history_node.h"

#include "net/pause.h"
#include "net/spawn.h"
#include "util/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Bytes of turns in one page that another node copies.
constexpr std::size_t page_bytes = 1'048'576;

constexpr milliseconds page_timeout{2'000};

/// Pause between attempts to join the other nodes, and between sweeps of expired turns.
constexpr milliseconds join_pause{300};
constexpr milliseconds sweep_interval{2'000};

/// Turns that this node may have missed before its start have expired after this time.
constexpr std::chrono::minutes max_retention{10};

/// Gateways give up a put that is not confirmed by enough nodes within this time.
constexpr milliseconds max_put_time{2'000};

/// A put that is not on disk after this time fails.
constexpr milliseconds put_timeout{5'000};

} // namespace

history_node::history_node(asio::any_io_executor loop, history_node_settings settings, history_peers& peers)
    : m_loop(std::move(loop)), m_settings(std::move(settings)), m_peers(peers),
      m_server(m_loop,
               [this](const http_request& request) { return handle(to_std(request.target()), request.body()); }),
      m_table(m_settings.max_bytes), m_log(m_settings.data_folder)
{
}

bool history_node::start()
{
    std::size_t loaded = 0;
    std::size_t orphans = 0;
    // The time of day may have changed since, so the retention of each turn starts again.
    const std::size_t damaged = m_log.load([&](std::uint64_t segment, const turn_record& record) {
        const turn_put_result result = m_table.put(record, segment, steady_now());
        loaded += result == turn_put_result::stored ? 1 : 0;
        orphans += result == turn_put_result::previous_missing ? 1 : 0;
    });
    m_lost_disk = m_log.is_new() && !m_settings.first_start;
    m_complete = m_settings.first_start;
    m_started = steady_now();
    log(log_part::journal, log_level::info, "Turns were read from the disk.", field("turns", loaded),
        field("without_previous", orphans), field("damaged_segments", damaged), field("bytes", m_table.bytes()),
        field("first_start", m_settings.first_start));
    if (!m_server.listen(m_settings.ip, m_settings.port)) {
        return false;
    }
    spawn_restarting(
        m_loop, [this] { return join(); }, "history registration");
    spawn_restarting(
        m_loop, [this] { return expire_turns(); }, "expiry of turns");
    return true;
}

asio::awaitable<server_response> history_node::handle(std::string_view path, std::string_view body)
{
    server_response response;
    if (path == history_calls::put) {
        if (auto records = decode_turns(body)) {
            response.status = co_await put(std::move(*records));
            co_return response;
        }
    }
    else if (path == history_calls::chain) {
        if (const auto id = decode_text(body)) {
            co_return read_chain(*id);
        }
    }
    else if (path == history_calls::read_page) {
        if (const auto from = decode_position(body)) {
            co_return read_page(*from);
        }
    }
    else if (path == history_calls::copy_from) {
        if (auto id = decode_text(body)) {
            response.status = co_await copy_from(std::move(*id));
            co_return response;
        }
    }
    else if (path == history_calls::retire) {
        m_retiring = true;
        log(log_part::journal, log_level::info, "This node is emptied and takes no further turns.");
        co_return response;
    }
    log(log_part::journal, log_level::warning, "A call to this history node is malformed.", field("path", path));
    constexpr unsigned bad_request = 400;
    response.status = bad_request;
    co_return response;
}

asio::awaitable<unsigned> history_node::put(std::vector<turn_record> records)
{
    if (m_retiring) {
        co_return history_status::unavailable;
    }
    const auto pending = std::make_shared<pending_put>(m_loop);
    std::set<std::string_view> added;
    for (const turn_record& record : records) {
        const bool previous_known =
            record.previous.empty() || m_table.contains(record.previous) || added.contains(record.previous);
        if (!previous_known) {
            co_return history_status::previous_missing;
        }
        added.insert(record.id);
    }
    for (turn_record& record : records) {
        const std::uint64_t segment = m_table.contains(record.id) ? 0 : m_log.append(record);
        pending->records.emplace_back(std::move(record), segment);
    }
    if (m_pending.empty()) {
        // Requests that have arrived meanwhile share the sync.
        asio::post(m_loop, [this] { sync_pending(); });
    }
    m_pending.push_back(pending);
    pending->wake.expires_after(put_timeout);
    co_await pending->wake.async_wait(use_nothrow_awaitable);
    co_return pending->status.value_or(history_status::unavailable);
}

void history_node::sync_pending()
{
    const bool done = m_log.sync();
    const timestamp now = steady_now();
    for (const auto& item : m_pending) {
        unsigned status = done ? history_status::ok : history_status::unavailable;
        for (const auto& [record, segment] : item->records) {
            const turn_put_result result = done ? m_table.put(record, segment, now) : turn_put_result::full;
            if (result == turn_put_result::full || result == turn_put_result::previous_missing) {
                status = history_status::unavailable;
            }
        }
        item->status = status;
        item->wake.cancel();
    }
    m_pending.clear();
}

server_response history_node::read_chain(std::string_view id) const
{
    const auto turns = m_table.chain(id);
    if (!turns.empty()) {
        return {history_status::ok, encode_turns(turns)};
    }
    return {m_complete ? history_status::not_found : history_status::unavailable, {}};
}

server_response history_node::read_page(std::uint64_t from) const
{
    const turn_table::page page = m_table.read_page(from, page_bytes);
    return {history_status::ok, encode_page(page.records, page.next, page.more, m_lost_disk)};
}

asio::awaitable<unsigned> history_node::copy_from(std::string id)
{
    auto it = m_peers.all().find(id);
    if (it == m_peers.all().end() && co_await m_peers.read_registry(false)) {
        it = m_peers.all().find(id); // it registered after this node
    }
    const bool done = it != m_peers.all().end() && co_await copy_all(it->second);
    co_return done ? history_status::ok : history_status::unavailable;
}

// Returns whether all turns of the node are here. A node that has lost its disk itself does not count.
asio::awaitable<bool> history_node::copy_all(std::shared_ptr<history_peer> peer)
{
    std::uint64_t position = 0;
    std::size_t copied = 0;
    while (true) {
        std::string request = encode_position(position);
        const auto reply = co_await m_peers.call(peer, history_calls::read_page, std::move(request), page_timeout);
        auto page = reply && reply->status == history_status::ok ? decode_page(reply->body) : std::nullopt;
        if (!page) {
            co_return false;
        }
        std::erase_if(page->records, [this](const turn_record& item) { return m_table.contains(item.id); });
        copied += page->records.size();
        if (!page->records.empty() && co_await put(std::move(page->records)) != history_status::ok) {
            co_return false;
        }
        position = page->next;
        if (!page->more) {
            log(log_part::journal, log_level::info, "The turns of another node were copied.", field("node", peer->id),
                field("new_turns", copied), field("lost_disk", page->lost_disk));
            co_return !page->lost_disk;
        }
    }
}

// Each turn was put to one node more than may be lost. The nodes that are missing must be fewer than its copies that
// can remain: this node is itself one of the lost ones if it had a disk before.
bool history_node::has_copied_enough() const
{
    const auto missing = static_cast<std::size_t>(std::ranges::count_if(m_peers.all(), [this](const auto& pair) {
        return pair.first != m_settings.id && !m_copied.contains(pair.first);
    }));
    const bool lost = m_lost_disk && m_was_registered;
    return missing + (lost ? 1 : 0) <= m_settings.tolerated_losses;
}

// A put that this node had confirmed before it lost its disk may reach the others later than the first copy. So only
// copies that begin when such puts have ended count as complete.
asio::awaitable<void> history_node::copy_missing(bool counts)
{
    std::vector<std::shared_ptr<history_peer>> missing;
    for (const auto& [id, peer] : m_peers.all()) {
        if (id != m_settings.id && !m_copied.contains(id)) {
            missing.push_back(peer);
        }
    }
    for (const auto& peer : missing) {
        if (co_await copy_all(peer) && counts) {
            m_copied.insert(peer->id);
        }
    }
}

asio::awaitable<void> history_node::join()
{
    bool registered = false;
    bool first_pass_done = false;
    while (true) {
        if (!registered) {
            if (co_await m_peers.read_registry(false)) {
                m_was_registered = m_was_registered || m_peers.all().contains(m_settings.id);
                const tcp::endpoint own_address(asio::ip::make_address(m_settings.ip), m_server.port());
                registered = co_await m_peers.write_registration(m_settings.id, own_address, m_settings.failure_domain);
            }
            if (registered && m_settings.first_start) {
                co_return; // no other node can have turns that this one lacks
            }
        }
        const bool settled = steady_now() - m_started >= max_put_time;
        if (settled || !first_pass_done) {
            co_await copy_missing(settled);
            first_pass_done = registered;
        }
        const bool all_expired = steady_now() - m_started > max_retention;
        if (!m_complete && registered && (all_expired || has_copied_enough())) {
            m_complete = true;
            m_lost_disk = false;
            log(log_part::journal, log_level::info, "This node has all turns.", field("turns", m_table.size()),
                field("nodes", m_peers.all().size()));
        }
        const bool copied_all = std::ranges::all_of(m_peers.all(), [this](const auto& pair) {
            return pair.first == m_settings.id || m_copied.contains(pair.first);
        });
        if (registered && copied_all) {
            co_return;
        }
        co_await pause(m_loop, join_pause);
    }
}

asio::awaitable<void> history_node::expire_turns()
{
    while (true) {
        co_await pause(m_loop, sweep_interval);
        m_table.expire(steady_now());
        m_log.remove_unused(m_table.used_segments());
    }
}

} // namespace lagoonferry
