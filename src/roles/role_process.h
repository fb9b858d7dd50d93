#pragma once

#include "backends/call_counts.h"
#include "backends/http_engine_client.h"
#include "blackboard/board.h"
#include "membership/member.h"
#include "peer/cluster_key.h"
#include "peer/datagram_sender.h"
#include "peer/datagram_socket.h"
#include "peer/http_listener.h"
#include "peer/rpc_server.h"
#include "settings/settings.h"

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lagoonferry {

/// Common parts of entry and dispatch processes: sockets, blackboard, membership, documents and the RPC server.
/// Usage, from one thread: construct, `bind`, add RPC methods and routes, `start`, `stop`.
class role_process {
public:
    role_process(const settings& values, member_role role);
    role_process(const role_process&) = delete;
    role_process& operator=(const role_process&) = delete;
    ~role_process();

    /// Binds the sockets. Returns false if an address is in use.
    bool bind();

    /// Serves RPC and HTTP, and starts the controllers. `ownership` and `slots` may be empty. Prints one line
    /// `listening <kind> <address>` for each address to standard output. Precondition: `bind` succeeded.
    void start(const caf::actor& ownership, const caf::actor& slots);

    /// Registers an actor, which `stop` terminates, and returns it.
    caf::actor register_actor(caf::actor item);

    /// Stops the servers and terminates all registered actors.
    void stop();

    const settings& values() const { return m_settings; }
    board& shared() { return m_board; }
    caf::actor_system& actors() { return *m_actors; }
    http_listener& http() { return m_http; }
    rpc_server& rpc() { return m_rpc; }
    datagram_sender& sender() { return *m_sender; }
    call_counts& counts() { return m_counts; }
    http_engine_client& engines() { return m_engines; }
    const cluster_key& key() const { return m_key; }
    const member& self() const { return m_self; }
    const caf::actor& membership() const { return m_membership; }
    const caf::actor& documents() const { return m_documents; }

    /// Start time of this process in milliseconds since 1970. It identifies the in-memory state of the process:
    /// replicas and partitions held under another start time are lost.
    std::uint64_t start_time() const { return process_start(m_self.incarnation); }

    /// Address of the key-value service as a string.
    std::string platform_address() const;

private:
    void add_rpc_methods();
    void add_routes();
    void receive_loop(const caf::actor& slots);
    void on_datagram(const received_datagram& received, const caf::actor& slots);

    settings m_settings;
    cluster_key m_key;
    member m_self;
    board m_board;
    call_counts m_counts;
    http_engine_client m_engines;
    std::unique_ptr<datagram_socket> m_socket;
    std::unique_ptr<datagram_sender> m_sender;
    caf::actor_system_config m_actor_config;
    std::unique_ptr<caf::actor_system> m_actors;
    std::vector<caf::actor> m_registered_actors;
    caf::actor m_membership;
    caf::actor m_documents;
    rpc_server m_rpc;
    http_listener m_rpc_listener;
    http_listener m_http;
    std::thread m_receiver;
    std::atomic<bool> m_stopping{false};
    std::atomic<std::uint64_t> m_dropped_datagrams{0};
};

} // namespace lagoonferry
