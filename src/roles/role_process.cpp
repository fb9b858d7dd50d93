#include "roles/role_process.h"

#include "roles/document_controller.h"
#include "roles/document_fetcher.h"
#include "roles/instance_poller.h"
#include "roles/membership_controller.h"
#include "util/digest.h"
#include "util/ensure.h"
#include "util/log.h"

#include <caf/atom.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/exit_reason.hpp>
#include <caf/send.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <iostream>
#include <stdexcept>

namespace lagoonferry {

namespace {

constexpr std::size_t rpc_threads = 32;
constexpr std::size_t actor_threads = 4;
constexpr std::size_t max_engine_connections = 8192;
constexpr std::chrono::milliseconds receive_timeout{100};
constexpr std::size_t max_rpc_body_bytes = std::size_t{16} * 1024 * 1024;

http_limits limits_of(const http_settings& http)
{
    http_limits limits;
    limits.threads = http.worker_threads;
    limits.max_body_bytes = http.max_body_bytes;
    return limits;
}

http_limits rpc_limits()
{
    http_limits limits;
    limits.threads = rpc_threads;
    limits.max_body_bytes = max_rpc_body_bytes;
    return limits;
}

// In milliseconds, so that a process that restarts within a second is not mistaken for the previous one, whose replicas
// it does not have.
std::uint64_t unix_time_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::uint64_t random_seed()
{
    const std::string hex = random_hex(sizeof(std::uint64_t));
    std::uint64_t seed = 0;
    std::from_chars(hex.data(), hex.data() + hex.size(), seed, 16);
    return seed;
}

membership_options options_of(const settings& values, const member& self)
{
    membership_options options;
    options.self = self;
    options.timing.suspicion = std::chrono::milliseconds(values.timing.suspicion_ms);
    options.timing.presumed_down = std::chrono::milliseconds(values.timing.presumed_down_ms);
    options.heartbeat_interval = std::chrono::milliseconds(values.timing.heartbeat_ms);
    options.address_ttl = std::chrono::milliseconds(values.timing.address_ttl_ms);
    std::ranges::transform(values.peer.seeds, std::back_inserter(options.seeds), [](const endpoint& seed) {
        return network_address{seed.ip, seed.port};
    });
    options.seed = random_seed();
    return options;
}

} // namespace

role_process::role_process(const settings& values, member_role role)
    : m_settings(values), m_key(values.keys.cluster.reveal()), m_engines(max_engine_connections, m_counts),
      m_rpc(m_key.rpc_token()), m_rpc_listener(rpc_limits()), m_http(limits_of(values.http))
{
    m_self.id = values.identity.instance_id.text();
    m_self.incarnation = first_incarnation(unix_time_ms());
    m_self.role = role;
    m_self.failure_domain = values.identity.failure_domain.text();
    m_self.address.ip = advertised_ip(values.http).text;
    m_actor_config.set("scheduler.max-threads", actor_threads);
    // The work-stealing scheduler polls while idle, which uses 5% of a core.
    m_actor_config.set("scheduler.policy", caf::atom("sharing"));
    m_actors = std::make_unique<caf::actor_system>(m_actor_config);
    const auto fetcher = register_actor(m_actors->spawn<caf::detached>(
        document_fetcher, document_sources{platform_address(), m_self.id, m_key.rpc_token()}, &m_board, &m_counts));
    m_documents = register_actor(m_actors->spawn(document_controller, fetcher, &m_board));
}

role_process::~role_process()
{
    stop();
}

std::string role_process::platform_address() const
{
    return m_settings.platform.kv ? to_string(*m_settings.platform.kv) : std::string("0.0.0.0:0");
}

bool role_process::bind()
{
    const std::string& ip = m_settings.http.listen.text;
    if (auto bound = datagram_socket::bind({ip, m_settings.peer.datagram_port})) {
        m_socket = std::make_unique<datagram_socket>(std::move(*bound));
    }
    const auto rpc = m_rpc_listener.bind({ip, m_settings.peer.rpc_port});
    const auto http = m_http.bind({ip, m_settings.http.port});
    if (!m_socket || !rpc || !http) {
        log(log_part::main, log_level::error, "Cannot bind a port; it may be in use.",
            field("datagram_port", m_settings.peer.datagram_port.value()),
            field("rpc_port", m_settings.peer.rpc_port.value()), field("http_port", m_settings.http.port.value()));
        return false;
    }
    m_self.address.datagram_port = m_socket->local_address().port;
    m_self.address.rpc_port = rpc->port;
    m_self.address.http_port = http->port;
    m_sender = std::make_unique<datagram_sender>(*m_socket, m_key, m_self.id);
    return true;
}

void role_process::start(const caf::actor& ownership, const caf::actor& slots)
{
    add_rpc_methods();
    add_routes();
    m_rpc.attach(m_rpc_listener.server());
    m_membership =
        register_actor(m_actors->spawn(membership_controller, options_of(m_settings, m_self),
                                       membership_receivers{ownership, m_documents}, &m_board, m_sender.get()));
    register_actor(m_actors->spawn<caf::detached>(document_watcher,
                                                  document_sources{platform_address(), m_self.id, m_key.rpc_token()},
                                                  m_documents, &m_board, &m_counts));
    if (m_settings.platform.instances) {
        const instance_poller_options options{to_string(*m_settings.platform.instances), m_self.id,
                                              std::chrono::milliseconds(m_settings.timing.instance_poll_ms)};
        register_actor(m_actors->spawn<caf::detached>(instance_poller, options, m_membership, &m_board, &m_counts));
    }
    m_receiver = std::thread([this, slots] { receive_loop(slots); });
    m_rpc_listener.serve();
    m_http.serve();
    const member_address& bound = m_self.address;
    const std::string& ip = m_settings.http.listen.text;
    std::cout << "listening http " << to_string(network_address{ip, bound.http_port}) << "\nlistening rpc "
              << to_string(network_address{ip, bound.rpc_port}) << "\nlistening datagram "
              << to_string(network_address{ip, bound.datagram_port}) << std::endl;
}

void role_process::add_rpc_methods()
{
    m_rpc.add("documents", [this](const nlohmann::json&) {
        const auto documents = m_board.documents.read();
        nlohmann::json versions = nlohmann::json::object();
        for (const auto& [service, in_force] : documents->services) {
            versions[service] = in_force->record.version;
        }
        return nlohmann::json{{"ready", documents->ready}, {"versions", versions}};
    });
    m_rpc.add("document", [this](const nlohmann::json& parameters) {
        const auto documents = m_board.documents.read();
        const auto it = documents->services.find(parameters.at("service").get<std::string>());
        if (it == documents->services.end()) {
            throw std::invalid_argument("this process has no document of this service");
        }
        return nlohmann::json{{"record", serialize_record(it->second->record)}};
    });
}

void role_process::add_routes()
{
    m_http.server().Get("/healthz", [](const httplib::Request&, httplib::Response& response) {
        response.set_content("ok\n", "text/plain");
    });
    m_http.server().Get("/readyz", [this](const httplib::Request&, httplib::Response& response) {
        const bool ready = m_board.documents.read()->ready && !*m_board.stopping.read();
        response.status = ready ? 200 : 503;
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
}

void role_process::receive_loop(const caf::actor& slots)
{
    while (!m_stopping) {
        if (const auto received = m_socket->receive(receive_timeout)) {
            on_datagram(*received, slots);
        }
    }
}

void role_process::on_datagram(const received_datagram& received, const caf::actor& slots)
{
    const auto message = decode_datagram(received.bytes, m_key);
    if (!message) {
        ++m_dropped_datagrams;
        return;
    }
    const auto body = decode_cbor(message->body);
    if (!body) {
        ++m_dropped_datagrams;
        return;
    }
    if (message->kind == datagram_kind::heartbeat) {
        if (const auto parsed = heartbeat_from_json(*body)) {
            caf::anon_send(m_membership, heartbeat_datagram{received.from, *parsed});
        }
        return;
    }
    if (slots && body->is_object() && body->contains("g") && body->contains("m") && body->at("g").is_string()) {
        if (const auto parsed = decode_slot_message(body->at("m"))) {
            caf::anon_send(m_membership, member_seen{message->sender});
            caf::anon_send(slots, slot_datagram{message->sender, body->at("g").get<std::string>(), *parsed});
        }
    }
}

caf::actor role_process::register_actor(caf::actor item)
{
    m_registered_actors.push_back(item);
    return item;
}

void role_process::stop()
{
    m_stopping = true;
    m_http.stop();
    m_rpc_listener.stop();
    if (m_receiver.joinable()) {
        m_receiver.join();
    }
    for (const caf::actor& item : m_registered_actors) {
        caf::anon_send_exit(item, caf::exit_reason::user_shutdown);
    }
    m_registered_actors.clear();
    m_membership = nullptr;
    m_documents = nullptr;
}

} // namespace lagoonferry
