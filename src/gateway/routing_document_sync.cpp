#include "gateway/routing_document_sync.h"

#include "membership/delegated_task.h"
#include "net/client_connection.h"
#include "net/pause.h"
#include "net/spawn.h"
#include "util/rendezvous.h"

#include <algorithm>
#include <array>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Pause after a failed call to the store; it doubles with each further one.
constexpr milliseconds failure_pause{250};
constexpr milliseconds longest_failure_pause{1'000};

/// Gateways of a failure domain that watch. The store may turn away a third of the machines while it serves the others,
/// and a silent connection is noticed late, so a single one is not enough.
constexpr std::size_t watchers_of_domain = 3;

/// A document must be in force 2 s after the store has taken it. Without a word of a gateway that watches, this one
/// asks the store itself after the first time; the second is the pause until it looks again, which is also the longest
/// delay after a pause of the process. A gateway tells each other one at least once in a second; above
/// `max_full_mesh_gateways` it hears fewer, and some watch by themselves for the time of a watch.
constexpr milliseconds longest_silence{1'200};
constexpr milliseconds listen_interval{200};

/// Source of documents that others may not know yet.
constexpr std::string_view watch_source = "watch";

/// Time for the answer of another gateway.
constexpr milliseconds peer_limit{500};

/// Other gateways that are asked for the document in one round.
constexpr std::size_t peers_asked = 2;

/// A document that is passed on between gateways, bytes at most.
constexpr std::size_t document_limit = 1'048'576;

/// Gateways that try to acknowledge an order, each after the one before it had this time.
constexpr std::size_t acknowledging_gateways = 3;
constexpr std::size_t acknowledging_without_watchers = 8;
constexpr milliseconds acknowledge_step{600};
constexpr int most_acknowledge_tries = 20;

} // namespace

routing_document_sync::routing_document_sync(gateway_context& context) : m_context(context) {}

void routing_document_sync::start()
{
    m_context.fleet.on_newer_document([this](std::uint64_t version, const std::string& sender) {
        if (!m_reading_newer) {
            m_reading_newer = true;
            spawn(m_context.loop, read_newer(version, sender), "newer document");
        }
    });
    spawn(m_context.loop, run(), "routing document");
}

asio::awaitable<void> routing_document_sync::run()
{
    milliseconds next_pause = failure_pause;
    while (true) {
        const bool watches = !m_context.routes || must_watch();
        note_source(watches);
        if (!watches) {
            set_confirmed(m_context.routes != nullptr);
            co_await pause(m_context.loop, listen_interval);
            continue;
        }
        const bool done = m_loaded ? co_await wait_for_changes() : co_await read_all();
        set_confirmed(done);
        m_context.fleet.set_watches_document(done && !m_context.stopping && must_watch());
        if (done) {
            next_pause = failure_pause;
            continue;
        }
        m_loaded = false; // only a whole answer shows soon that the store is back
        if (!m_context.routes) {
            co_await read_from_peers({});
        }
        co_await pause(m_context.loop, next_pause);
        next_pause = std::min(next_pause * 2, longest_failure_pause);
    }
}

bool routing_document_sync::must_watch() const
{
    return is_delegate(delegated_task::watch_documents, m_context.fleet.usable(), m_context.settings.id,
                       watchers_of_domain) ||
           !m_context.fleet.document_watched_within(longest_silence);
}

void routing_document_sync::note_source(bool watches)
{
    if (watches == m_watches) {
        return;
    }
    m_watches = watches;
    if (!watches) {
        m_context.fleet.set_watches_document(false);
    }
    log(log_part::document, log_level::info,
        watches ? "This gateway watches the routing document itself."
                : "Other gateways watch the routing document for this one.",
        field("version", m_context.routes ? m_context.routes->document().version : 0), field("revision", m_revision),
        field("gateways", m_context.fleet.usable().size()));
}

void routing_document_sync::set_confirmed(bool confirmed)
{
    if (confirmed != m_context.routes_confirmed) {
        log(log_part::platform, confirmed ? log_level::info : log_level::warning,
            confirmed ? "The store answers on the routing document."
                      : "The store does not answer on the routing document.",
            field("revision", m_revision), field("watches", m_watches));
    }
    m_context.routes_confirmed = confirmed;
}

asio::awaitable<bool> routing_document_sync::read_all()
{
    const store_reply reply = co_await m_context.store.read_all(m_context.adapter.layout().operator_prefix);
    if (reply.status != store_status::ok) {
        co_return false;
    }
    take(reply.found.items, "read");
    m_revision = reply.found.revision;
    m_loaded = true;
    co_return true;
}

asio::awaitable<bool> routing_document_sync::wait_for_changes()
{
    const store_reply reply = co_await m_context.store.watch(m_context.adapter.layout().operator_prefix, m_revision,
                                                             m_context.settings.document_watch_timeout);
    if (reply.status == store_status::compacted) {
        m_loaded = false;
        co_return true;
    }
    if (reply.status != store_status::ok) {
        co_return false;
    }
    take(reply.found.items, watch_source);
    m_revision = std::max(m_revision, reply.found.revision);
    co_return true;
}

asio::awaitable<void> routing_document_sync::read_newer(std::uint64_t version, std::string sender)
{
    log(log_part::document, log_level::info, "Another gateway knows a newer routing document.",
        field("version", version), field("gateway", sender));
    // The store may turn this machine away, or be slow; the gateway that told has the document.
    if (!co_await read_from_peers(std::move(sender))) {
        const store_reply reply = co_await m_context.store.read(m_context.adapter.layout().routing_document);
        if (reply.status == store_status::ok) {
            take(reply.found.items, "heartbeat");
        }
        else {
            co_await pause(m_context.loop, longest_failure_pause);
        }
    }
    m_reading_newer = false;
}

// A few others in turn, with `first` before them if it is one of the gateways.
std::vector<asio::ip::address> routing_document_sync::peers_to_ask(std::string_view first)
{
    std::vector<asio::ip::address> chosen;
    const auto add = [&](const member& item) {
        error_code ec;
        const auto ip = asio::ip::make_address(item.address.ip, ec);
        if (!ec && item.id != m_context.settings.id && chosen.size() < peers_asked &&
            std::ranges::find(chosen, ip) == chosen.end()) {
            chosen.push_back(ip);
        }
    };
    const std::vector<member>& peers = m_context.fleet.usable();
    if (const auto it = std::ranges::find(peers, first, &member::id); it != peers.end()) {
        add(*it);
    }
    for (std::size_t n = 0; n < peers.size() && chosen.size() < peers_asked; ++n) {
        add(peers[m_next_peer++ % peers.size()]);
    }
    return chosen;
}

// Returns whether one of the others had a newer document.
asio::awaitable<bool> routing_document_sync::read_from_peers(std::string first)
{
    const std::uint64_t before = m_context.routes ? m_context.routes->document().version : 0;
    for (const asio::ip::address& ip : peers_to_ask(first)) {
        error_code ec;
        const deadline until = deadline_after(peer_limit);
        client_connection connection(m_context.loop);
        ec = co_await connection.connect({ip, m_context.settings.peers.port}, until);
        http_request ask{http::verb::get, std::string(document_path), 11};
        ask.set(http::field::host, ip.to_string());
        if (!ec) {
            ec = co_await connection.send(ask, until);
        }
        std::string text;
        answer_reader answer(connection);
        if (!ec) {
            ec = co_await answer.read_head(until);
        }
        if (!ec) {
            ec = co_await answer.read_rest(text, document_limit, until);
        }
        if (ec || answer.status() != 200) {
            continue;
        }
        take_text(text, 0, ip.to_string());
        if (m_context.routes && m_context.routes->document().version > before) {
            co_return true;
        }
    }
    co_return false;
}

void routing_document_sync::take(std::span<const store_item> items, std::string_view source)
{
    const store_layout& layout = m_context.adapter.layout();
    for (const store_item& item : items) {
        if (item.key == layout.routing_document && !item.removed) {
            take_text(item.value, item.revision, source);
        }
        else if (item.key.starts_with(layout.retire_orders) && !item.removed) {
            const std::string machine = item.key.substr(layout.retire_orders.size());
            std::uint64_t& newest = m_emptying[machine];
            if (item.revision > newest) {
                newest = item.revision;
                spawn(m_context.loop, acknowledge_emptying(machine, item.revision), "emptying of a machine");
            }
        }
    }
}

void routing_document_sync::take_text(const std::string& text, std::uint64_t revision, std::string_view source)
{
    failure reason;
    auto document = m_context.adapter.read_routing(text, reason);
    if (!document) {
        log(log_part::document, log_level::error, "The routing document cannot be read.", field("revision", revision),
            field("reason", reason.text));
        return;
    }
    const std::uint64_t present = m_context.routes ? m_context.routes->document().version : 0;
    if (document->version <= present) {
        return;
    }
    log(log_part::document, log_level::info, "A routing document is in force.", field("version", document->version),
        field("former", present), field("revision", revision), field("routes", document->routes.size()),
        field("source", source));
    m_context.fleet.set_document_version(document->version);
    m_context.routes = std::make_shared<const route_table>(std::move(*document));
    m_context.document_text = text;
    if (source == watch_source) {
        m_context.fleet.announce_document();
    }
}

// Only gateways that watch hear of an order. The place of this one among them is by the machine's name, so that the
// machine itself need not be alive.
std::size_t routing_document_sync::acknowledging_rank(const std::string& machine) const
{
    std::vector<std::string> watchers =
        delegates(delegated_task::watch_documents, m_context.fleet.usable(), watchers_of_domain);
    std::ranges::sort(watchers, std::greater{},
                      [hash = stable_hash(machine)](const std::string& id) { return rendezvous_weight(hash, id); });
    const auto it = std::ranges::find(watchers, m_context.settings.id);
    if (it != watchers.end()) {
        return static_cast<std::size_t>(it - watchers.begin());
    }
    return m_context.fleet.own_rank(machine);
}

// No gateway keeps anything on disks, so a machine is empty at once.
asio::awaitable<void> routing_document_sync::acknowledge_emptying(std::string machine, std::uint64_t order_revision)
{
    const std::size_t rank = acknowledging_rank(machine);
    const bool others_watch = m_context.fleet.document_watched_within(longest_silence);
    if (rank >= (others_watch ? acknowledging_gateways : acknowledging_without_watchers)) {
        co_return;
    }
    co_await pause(m_context.loop, acknowledge_step * rank);
    const std::string key = m_context.adapter.layout().retire_statuses + machine;
    store_condition present{key, 0};
    for (int tries = 0; tries < most_acknowledge_tries && m_emptying[machine] == order_revision; ++tries) {
        const std::array conditions{present};
        const std::array items{store_item{key, m_context.adapter.retired_status(), 0, false}};
        const store_reply reply = co_await m_context.store.write(conditions, items);
        if (reply.status == store_status::ok) {
            log(log_part::platform, log_level::info, "A machine is reported as empty.", field("machine", machine),
                field("revision", reply.revision));
            co_return;
        }
        if (reply.status == store_status::conflict && !reply.found.items.empty()) {
            if (reply.found.items.front().revision > order_revision) {
                co_return; // another gateway was first
            }
            present.revision = reply.found.items.front().revision;
            continue;
        }
        co_await pause(m_context.loop, failure_pause);
    }
}

} // namespace lagoonferry
