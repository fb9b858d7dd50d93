#include "gateway/routing_document_sync.h"

#include "membership/delegated_task.h"
#include "net/client_connection.h"
#include "net/pause.h"
#include "net/spawn.h"
#include "util/rendezvous.h"

#include <algorithm>
#include <array>
#include <optional>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// A history node that cannot be emptied in this time does not respond. Its turns have copies at other nodes.
constexpr milliseconds max_emptying_time{4'000};

/// Backoff after failed calls to the store; it doubles with each further failure.
constexpr milliseconds failure_backoff{250};
constexpr milliseconds max_failure_backoff{1'000};

/// Gateways of each failure domain that watch the store. The store may refuse a third of the machines while it serves
/// the others, and a dead connection is detected late, so a single watcher is not enough.
constexpr std::size_t watchers_per_domain = 3;

/// A document must be in force 2 s after it was written to the store. When no gateway has announced for the first of
/// these times that it watches the store, this one watches it itself. The second is the interval of this check, and
/// also the maximum delay after a pause of the process. Each gateway sends a heartbeat to each other one at least once
/// a second. In fleets above `max_full_mesh_gateways` the announcements are relayed, which takes a few heartbeats.
constexpr milliseconds max_announcement_age{1'200};
constexpr milliseconds max_relayed_announcement_age{2'600};
constexpr milliseconds watch_check_interval{200};

/// In a large fleet a gateway begins to watch this much later for each gateway that is ranked before it.
constexpr milliseconds rank_step{100};
constexpr std::string_view rank_key = "documents";

/// A connection to the store may go silent without being closed, so a watch request that gets no response must end
/// early enough for a complete read, and for other gateways to fetch what it finds, within the delay limit of a
/// document. The store responds in 240 ms when it is slow.
constexpr milliseconds watch_response_timeout{500};
constexpr milliseconds reread_reserve{500};
constexpr milliseconds min_watch_timeout{250};

/// Sources of a document in the store: a watch, a complete read, and a read of the document alone.
constexpr std::string_view watch_source = "watch";
constexpr std::string_view read_source = "read";
constexpr std::string_view key_source = "key";

/// Timeout of a request to another gateway, for its header and for each part of the document. The next gateway is asked
/// earlier, so that one that does not respond delays a document little.
constexpr milliseconds peer_timeout{500};

/// While a transfer makes progress, the next gateway is asked after this time only. Several transfers share the link.
constexpr milliseconds max_time_of_single_transfer{600};

/// A transfer that makes progress may take this long.
constexpr milliseconds max_transfer_time{10'000};
constexpr milliseconds next_peer_delay{150};

/// Gateways that announced a newer document and are remembered until they are asked.
constexpr std::size_t max_announcers = 4;

/// Other gateways that a gateway without a document asks while the store is unavailable.
constexpr std::size_t max_peers_per_round = 2;

/// Maximum size in bytes of a document that another gateway sends.
constexpr std::size_t max_routing_document_bytes = 1'048'576;

/// Gateways that try to acknowledge an order to retire a machine. Each one waits `acknowledge_delay_step` longer than
/// the one before it. More of them try when no other gateway is known to watch.
constexpr std::size_t max_acknowledgers = 3;
constexpr std::size_t max_acknowledgers_without_watchers = 8;
constexpr milliseconds acknowledge_delay_step{600};
constexpr int max_acknowledge_attempts = 20;

/// Clears a flag at the end of a coroutine, also if it ends with an exception.
class flag_clearer {
public:
    explicit flag_clearer(bool& flag) : m_flag(flag) {}
    ~flag_clearer() { m_flag = false; }
    flag_clearer(const flag_clearer&) = delete;
    flag_clearer& operator=(const flag_clearer&) = delete;

private:
    bool& m_flag;
};

/// Counts an operation for the lifetime of this object.
class scoped_count {
public:
    explicit scoped_count(std::size_t& count) : m_count(count) { ++m_count; }
    ~scoped_count() { --m_count; }
    scoped_count(const scoped_count&) = delete;
    scoped_count& operator=(const scoped_count&) = delete;

private:
    std::size_t& m_count;
};

} // namespace

routing_document_sync::routing_document_sync(gateway_context& context)
    : m_context(context), m_fetch_progress(context.loop)
{
}

void routing_document_sync::start()
{
    m_context.fleet.on_newer_document(
        [this](std::uint64_t version, const std::string& sender) { on_announcement(version, sender); });
    spawn_restarting(
        m_context.loop, [this] { return run(); }, "routing document");
}

asio::awaitable<void> routing_document_sync::run()
{
    milliseconds next_backoff = failure_backoff;
    while (true) {
        const bool watches = should_watch();
        set_watching(watches);
        if (!watches) {
            const bool watched = m_context.fleet.document_watched_within(announcement_age_limit());
            set_confirmed(m_context.routes != nullptr && watched);
            co_await pause(m_context.loop, watch_check_interval);
            continue;
        }
        const timestamp started = steady_now();
        const bool done = m_loaded ? co_await wait_for_changes() : co_await read_all();
        set_confirmed(done);
        m_context.fleet.set_watches_document(done && !m_context.stop.stopping() && should_watch());
        if (done) {
            next_backoff = failure_backoff;
            continue;
        }
        const bool watch_ended = m_loaded && steady_now() - started >= failure_backoff;
        m_loaded = false; // a complete read shows sooner than a watch that the store is back
        if (watch_ended) {
            continue; // the store may be available on a new connection
        }
        if (!m_context.routes) {
            co_await fetch_from_peers();
        }
        co_await pause(m_context.loop, next_backoff);
        next_backoff = std::min(next_backoff * 2, max_failure_backoff);
    }
}

timestamp routing_document_sync::announcement_age_limit() const
{
    return m_context.fleet.is_large() ? max_relayed_announcement_age : max_announcement_age;
}

// In a large fleet without an announcement the gateways begin to watch one after the other: in an outage of the store a
// few of them notice its return as soon as all would.
bool routing_document_sync::should_watch() const
{
    if (!m_context.routes || is_watcher()) {
        return true;
    }
    const timestamp limit = announcement_age_limit();
    const auto rank = static_cast<std::int64_t>(m_context.fleet.own_rank(rank_key));
    const timestamp delay = m_context.fleet.is_large() ? timestamp(rank_step) * rank : timestamp{};
    return !m_context.fleet.document_watched_within(limit + delay);
}

bool routing_document_sync::is_watcher() const
{
    return is_delegate(delegated_task::watch_documents, m_context.fleet.usable(), m_context.settings.id,
                       watchers_per_domain);
}

void routing_document_sync::set_watching(bool watches)
{
    if (watches == m_watches_store) {
        return;
    }
    m_watches_store = watches;
    if (!watches) {
        m_context.fleet.set_watches_document(false);
    }
    log(log_part::document, log_level::info,
        watches ? "This gateway watches the routing document in the store."
                : "This gateway gets the routing document from other gateways.",
        field("version", m_context.routes ? m_context.routes->document().version : 0), field("revision", m_revision),
        field("gateways", m_context.fleet.usable().size()));
}

// Without the newest document this gateway cannot tell an unknown route or key from a new one.
void routing_document_sync::set_confirmed(bool confirmed)
{
    const bool behind = m_announced_version > present_version();
    if (behind) {
        m_context.routes_confirmed = false;
        return;
    }
    if (confirmed != m_context.routes_confirmed) {
        log(log_part::platform, confirmed ? log_level::info : log_level::warning,
            confirmed ? "The store answers on the routing document."
                      : "The store does not answer on the routing document.",
            field("revision", m_revision), field("watches", m_watches_store));
    }
    m_context.routes_confirmed = confirmed;
}

asio::awaitable<bool> routing_document_sync::read_all()
{
    const store_reply reply = co_await m_context.store.read_all(m_context.adapter.layout().operator_prefix);
    if (reply.status != store_status::ok) {
        co_return false;
    }
    apply_items(reply.found.items, read_source);
    m_context.document_response_at = steady_now();
    m_revision = reply.found.revision;
    m_loaded = true;
    co_return true;
}

milliseconds routing_document_sync::watch_timeout() const
{
    const gateway_settings& settings = m_context.settings;
    const milliseconds longest = settings.document_delay_limit - watch_response_timeout - reread_reserve;
    return std::min(settings.document_watch_timeout, std::max(longest, min_watch_timeout));
}

asio::awaitable<bool> routing_document_sync::wait_for_changes()
{
    const store_reply reply = co_await m_context.store.watch(m_context.adapter.layout().operator_prefix, m_revision,
                                                             watch_timeout(), watch_response_timeout);
    if (reply.status == store_status::compacted) {
        m_context.document_response_at = steady_now();
        m_loaded = false;
        co_return true;
    }
    if (reply.status != store_status::ok) {
        co_return false;
    }
    apply_items(reply.found.items, watch_source);
    m_context.document_response_at = steady_now();
    m_revision = std::max(m_revision, reply.found.revision);
    co_return true;
}

void routing_document_sync::on_announcement(std::uint64_t version, const std::string& sender)
{
    if (m_announced_at == timestamp{}) {
        m_announced_at = steady_now();
        log(log_part::document, log_level::info, "Another gateway announced a newer routing document.",
            field("version", version), field("gateway", sender));
    }
    m_announced_version = std::max(m_announced_version, version);
    set_confirmed(m_context.routes_confirmed);
    if (m_announcers.size() < max_announcers && std::ranges::find(m_announcers, sender) == m_announcers.end()) {
        m_announcers.push_back(sender);
    }
    if (!m_fetching_newer) {
        m_fetching_newer = true;
        spawn(m_context.loop, fetch_newer(), "newer document");
    }
}

std::uint64_t routing_document_sync::present_version() const
{
    return m_context.routes ? m_context.routes->document().version : 0;
}

// Asks the gateways that have announced the document before the store, which may refuse this machine or be slow. Each
// later announcement, at least one a heartbeat, adds a gateway to ask, or starts the next round.
asio::awaitable<void> routing_document_sync::fetch_newer()
{
    const flag_clearer at_end(m_fetching_newer);
    while (m_announced_version > present_version()) {
        const timestamp now = steady_now();
        const bool progresses = m_peer_requests > 0 && now - m_fetch_progress_at < next_peer_delay &&
                                now - m_peer_asked_at < max_time_of_single_transfer;
        if (!m_announcers.empty() && !progresses) {
            m_peer_asked_at = now;
            std::string sender = std::move(m_announcers.front());
            m_announcers.erase(m_announcers.begin());
            spawn(m_context.loop, fetch_from_announcer(std::move(sender)), "document of another gateway");
        }
        else if (m_peer_requests == 0 && !co_await read_document()) {
            co_return;
        }
        m_fetch_progress.expires_after(next_peer_delay);
        co_await m_fetch_progress.async_wait(use_nothrow_awaitable);
    }
    m_announcers.clear();
}

asio::awaitable<void> routing_document_sync::fetch_from_announcer(std::string id)
{
    const scoped_count request(m_peer_requests);
    const std::vector<member>& peers = m_context.fleet.usable();
    const auto it = std::ranges::find(peers, id, &member::id);
    error_code ec = asio::error::host_not_found;
    const auto ip = it == peers.end() ? asio::ip::address{} : asio::ip::make_address(it->address.ip, ec);
    if (!ec) {
        co_await fetch_document(ip);
    }
    m_fetch_progress.cancel();
}

// Reads the document alone from the store. Returns whether it is newer than the one in force.
asio::awaitable<bool> routing_document_sync::read_document()
{
    const timestamp now = steady_now();
    if (now - m_document_read_at < max_failure_backoff) {
        co_return false;
    }
    m_document_read_at = now;
    const std::uint64_t before = present_version();
    const store_reply reply = co_await m_context.store.read(m_context.adapter.layout().routing_document);
    if (reply.status == store_status::ok) {
        apply_items(reply.found.items, key_source);
        m_context.document_response_at = steady_now();
    }
    co_return present_version() > before;
}

// Returns the addresses of a few other gateways, chosen round-robin.
std::vector<asio::ip::address> routing_document_sync::select_peers()
{
    std::vector<asio::ip::address> chosen;
    const std::vector<member>& peers = m_context.fleet.usable();
    for (std::size_t n = 0; n < peers.size() && chosen.size() < max_peers_per_round; ++n) {
        const member& item = peers[m_next_peer++ % peers.size()];
        error_code ec;
        const auto ip = asio::ip::make_address(item.address.ip, ec);
        if (!ec && item.id != m_context.settings.id && std::ranges::find(chosen, ip) == chosen.end()) {
            chosen.push_back(ip);
        }
    }
    return chosen;
}

asio::awaitable<void> routing_document_sync::fetch_from_peers()
{
    for (const asio::ip::address& ip : select_peers()) {
        if (co_await fetch_document(ip)) {
            co_return;
        }
    }
}

// Returns whether the gateway at this address had a newer document.
asio::awaitable<bool> routing_document_sync::fetch_document(asio::ip::address ip)
{
    const std::uint64_t before = present_version();
    const deadline until = deadline_after(peer_timeout);
    client_connection connection(m_context.loop);
    error_code ec = co_await connection.connect({ip, m_context.settings.peers.port}, until);
    http_request request{http::verb::get, std::string(document_path), 11};
    request.set(http::field::host, ip.to_string());
    if (!ec) {
        ec = co_await connection.send(request, until);
    }
    std::string text;
    response_reader response(connection);
    if (!ec) {
        ec = co_await response.read_header(until);
    }
    const deadline end = deadline_after(max_transfer_time);
    while (!ec && !response.done() && text.size() <= max_routing_document_bytes) {
        ec = co_await response.read_some(text, std::min(end, deadline_after(peer_timeout)));
        m_fetch_progress_at = steady_now();
    }
    if (!ec && text.size() > max_routing_document_bytes) {
        ec = asio::error::message_size;
    }
    if (ec || response.status() != 200) {
        log(log_part::document, log_level::info, "Another gateway did not send its routing document.",
            field("gateway", ip.to_string()),
            field("reason", ec ? ec.message() : "status " + std::to_string(response.status())));
        co_return false;
    }
    apply_document(text, 0, ip.to_string());
    co_return present_version() > before;
}

void routing_document_sync::apply_items(std::span<const store_item> items, std::string_view source)
{
    const store_layout& layout = m_context.adapter.layout();
    for (const store_item& item : items) {
        if (item.key == layout.routing_document && !item.removed) {
            apply_document(item.value, item.revision, source);
        }
        else if (item.key.starts_with(layout.retire_orders) && !item.removed) {
            const std::string machine = item.key.substr(layout.retire_orders.size());
            std::uint64_t& newest = m_retire_orders[machine];
            if (item.revision > newest) {
                newest = item.revision;
                spawn(m_context.loop, acknowledge_retirement(machine, item.revision), "retire order");
            }
        }
    }
}

void routing_document_sync::apply_document(const std::string& text, std::uint64_t revision, std::string_view source)
{
    failure reason;
    auto document = m_context.adapter.read_routing(text, reason);
    if (!document) {
        log(log_part::document, log_level::error, "The routing document is invalid.", field("revision", revision),
            field("reason", reason.text));
        return;
    }
    const std::uint64_t present = present_version();
    if (document->version <= present) {
        return;
    }
    m_context.fleet.set_document_version(document->version);
    if (std::ranges::any_of(document->routes, &route::keeps_history)) {
        m_context.history.start();
    }
    m_context.routes = std::make_shared<const route_table>(std::move(*document));
    m_context.document_text = text;
    record_in_force(present, revision, source);
    // All gateways read at their start, so a first document is not announced.
    if (source == watch_source || (source == read_source && present > 0)) {
        m_context.fleet.announce_document();
    }
}

void routing_document_sync::record_in_force(std::uint64_t former, std::uint64_t revision, std::string_view source)
{
    constexpr int us_per_ms = 1'000;
    const timestamp now = steady_now();
    const bool announced = m_announced_at != timestamp{};
    const timestamp delay = announced ? now - m_announced_at : timestamp{};
    const bool responded = m_context.document_response_at != timestamp{};
    const routing_document& document = m_context.routes->document();
    log(log_part::document, log_level::info, "A routing document is in force.", field("version", document.version),
        field("former", former), field("revision", revision), field("routes", document.routes.size()),
        field("source", source), field("announced_ms", announced ? delay.count() / us_per_ms : -1),
        field("response_ms", responded ? (now - m_context.document_response_at).count() / us_per_ms : -1));
    const bool from_store = source == watch_source || source == read_source || source == key_source;
    m_context.metrics.on_document(from_store ? source : "gateway", announced ? std::optional(delay) : std::nullopt);
    m_announced_at = {};
}

// Only gateways that watch the store receive an order. They are ranked by rendezvous hashing of the machine's name, so
// the gateway on that machine need not be alive.
std::size_t routing_document_sync::acknowledger_rank(const std::string& machine) const
{
    std::vector<std::string> watchers =
        delegates(delegated_task::watch_documents, m_context.fleet.usable(), watchers_per_domain);
    std::ranges::sort(watchers, std::greater{},
                      [hash = stable_hash(machine)](const std::string& id) { return rendezvous_weight(hash, id); });
    const auto it = std::ranges::find(watchers, m_context.settings.id);
    if (it != watchers.end()) {
        return static_cast<std::size_t>(it - watchers.begin());
    }
    return m_context.fleet.own_rank(machine);
}

// The turns of a history node must be at other nodes first. Other machines store nothing.
asio::awaitable<void> routing_document_sync::acknowledge_retirement(std::string machine, std::uint64_t order_revision)
{
    const std::size_t rank = acknowledger_rank(machine);
    const bool others_watch = m_context.fleet.document_watched_within(announcement_age_limit());
    if (rank >= (others_watch ? max_acknowledgers : max_acknowledgers_without_watchers)) {
        co_return;
    }
    co_await pause(m_context.loop, acknowledge_delay_step * rank);
    const deadline until = deadline_after(max_emptying_time);
    while (!co_await m_context.history.empty_node(machine) && loop_clock::now() < until) {
        co_await pause(m_context.loop, failure_backoff);
    }
    const std::string key = m_context.adapter.layout().retire_statuses + machine;
    store_condition present{key, 0};
    for (int attempt = 0; attempt < max_acknowledge_attempts && m_retire_orders[machine] == order_revision; ++attempt) {
        const std::array conditions{present};
        const std::array items{store_item{key, m_context.adapter.retired_status(), 0, false}};
        const store_reply reply = co_await m_context.store.write(conditions, items);
        if (reply.status == store_status::ok) {
            log(log_part::platform, log_level::info, "An order to retire a machine was acknowledged.",
                field("machine", machine), field("revision", reply.revision));
            co_return;
        }
        if (reply.status == store_status::conflict && !reply.found.items.empty()) {
            if (reply.found.items.front().revision > order_revision) {
                co_return; // another gateway has acknowledged the order
            }
            present.revision = reply.found.items.front().revision;
            continue;
        }
        co_await pause(m_context.loop, failure_backoff);
    }
}

} // namespace lagoonferry
