#include "conversation/history_peers.h"

#include "util/bounded_json.h"
#include "util/log.h"

#include <algorithm>
#include <array>
#include <set>

namespace lagoonferry {

namespace {

constexpr std::string_view registry_prefix = "lagoonferry/history/";

/// After a failed call a node counts as unreachable for this time.
constexpr std::chrono::milliseconds failure_memory{1'000};

/// Timeout for connecting to a node, which normally takes one round trip.
constexpr std::chrono::milliseconds connect_timeout{250};

/// Idle connections kept for each node.
constexpr std::size_t max_idle_connections = 4;

/// Limit on the body of a response, in bytes.
constexpr std::size_t max_response_bytes = 16'777'216;

std::shared_ptr<history_peer> parse_entry(const store_item& item)
{
    const nlohmann::json value = parse_bounded_json(item.value);
    try {
        auto peer = std::make_shared<history_peer>();
        error_code ec;
        const auto ip = asio::ip::make_address(value.at("ip").get<std::string>(), ec);
        peer->id = item.key.substr(registry_prefix.size());
        peer->address = {ip, value.at("port").get<std::uint16_t>()};
        peer->failure_domain = value.at("failure_domain").get<std::string>();
        if (!ec) {
            return peer;
        }
    }
    catch (const nlohmann::json::exception&) {
        // logged below
    }
    log(log_part::journal, log_level::warning, "The entry of a history node in the store is invalid.",
        field("key", item.key));
    return nullptr;
}

} // namespace

bool history_peer::seems_reachable() const
{
    return !failed_at || loop_clock::now() - *failed_at > failure_memory;
}

history_peers::history_peers(asio::any_io_executor loop, store_client& store) : m_loop(std::move(loop)), m_store(store)
{
}

asio::awaitable<bool> history_peers::read_registry(bool may_be_stale)
{
    const store_reply reply = co_await m_store.read_all(registry_prefix, may_be_stale);
    if (reply.status != store_status::ok) {
        co_return false;
    }
    merge(reply.found.items);
    co_return true;
}

// While the store is unavailable registrations may be lost, so a node that responds is kept.
void history_peers::merge(std::span<const store_item> items)
{
    std::set<std::string_view> present;
    for (const store_item& item : items) {
        auto entry = parse_entry(item);
        if (!entry) {
            continue;
        }
        present.insert(std::string_view(item.key).substr(registry_prefix.size()));
        auto& known = m_peers[entry->id];
        if (!known || known->address != entry->address) {
            log(log_part::journal, log_level::info, "A history node is known.", field("node", entry->id),
                field("address", entry->address));
            known = std::move(entry);
        }
    }
    std::erase_if(m_peers,
                  [&](const auto& pair) { return !present.contains(pair.first) && !pair.second->seems_reachable(); });
    m_known = true;
}

asio::awaitable<bool> history_peers::write_registration(const std::string& id, const tcp::endpoint& address,
                                                        const std::string& failure_domain)
{
    const nlohmann::json value{
        {"ip", address.address().to_string()}, {"port", address.port()}, {"failure_domain", failure_domain}};
    const std::array items{store_item{std::string(registry_prefix) + id, value.dump(), 0, false}};
    const store_reply reply = co_await m_store.write({}, items);
    co_return reply.status == store_status::ok;
}

asio::awaitable<bool> history_peers::remove_registration(const std::string& id)
{
    const std::array items{store_item{std::string(registry_prefix) + id, {}, 0, true}};
    const store_reply reply = co_await m_store.write({}, items);
    m_peers.erase(id);
    co_return reply.status == store_status::ok;
}

asio::awaitable<std::optional<history_reply>> history_peers::call(std::shared_ptr<history_peer> peer,
                                                                  std::string_view path, std::string body,
                                                                  std::chrono::milliseconds timeout)
{
    const deadline until = deadline_after(timeout);
    std::unique_ptr<client_connection> connection;
    while (!peer->idle.empty() && !connection) {
        if (peer->idle.back()->is_reusable()) {
            connection = std::move(peer->idle.back());
        }
        peer->idle.pop_back();
    }
    error_code ec;
    if (!connection) {
        connection = std::make_unique<client_connection>(m_loop);
        ec = co_await connection->connect(peer->address, std::min(until, deadline_after(connect_timeout)));
    }
    if (!ec) {
        http_request request{http::verb::post, to_beast(path), 11};
        request.set(http::field::host, peer->address.address().to_string());
        request.body() = std::move(body);
        request.prepare_payload();
        ec = co_await connection->send(request, until);
    }
    history_reply reply;
    if (!ec) {
        response_reader reader(*connection);
        ec = co_await reader.read_header(until);
        if (!ec) {
            ec = co_await reader.read_remaining(reply.body, max_response_bytes, until);
        }
        if (!ec) {
            reply.status = reader.status();
            if (reader.allows_reuse() && peer->idle.size() < max_idle_connections) {
                peer->idle.push_back(std::move(connection));
            }
        }
    }
    if (ec) {
        if (peer->seems_reachable()) {
            log(log_part::journal, log_level::warning, "A history node does not respond.", field("node", peer->id),
                field("call", path), field("reason", ec.message()));
        }
        peer->failed_at = loop_clock::now();
        peer->idle.clear();
        co_return std::nullopt;
    }
    peer->failed_at.reset();
    co_return reply;
}

} // namespace lagoonferry
