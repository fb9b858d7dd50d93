#include "roles/entry_role.h"

#include "backends/http_tool_client.h"
#include "entry/caller_api.h"
#include "entry/control_api.h"
#include "entry/entry_metrics.h"
#include "entry/partition_router.h"
#include "entry/tool_runner.h"
#include "entry/turn_runner.h"
#include "program/history_memory.h"
#include "roles/ownership_controller.h"
#include "roles/partition_controller.h"
#include "roles/peer_controller.h"
#include "roles/platform_worker.h"
#include "roles/release_controller.h"
#include "roles/replica_controller.h"
#include "roles/request_and_wait.h"
#include "roles/role_process.h"
#include "roles/slot_controller.h"
#include "roles/stop_signal.h"
#include "settings/role_options.h"
#include "util/digest.h"
#include "util/log.h"

#include <caf/event_based_actor.hpp>
#include <caf/send.hpp>
#include <httplib.h>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <stdexcept>
#include <thread>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

// Up to this many calls of different partitions to the key-value service run in parallel.
constexpr std::size_t platform_workers = 4;
constexpr milliseconds platform_timeout{1000};
constexpr std::size_t max_tool_connections = 4096;
constexpr milliseconds stop_poll_interval{100};

// After this time the process stops even if a partition has no successor or a stream has not ended.
constexpr milliseconds stop_timeout{600'000};

/// Configures malloc to return freed memory to the system. With turns of 60 KB, an entry process kept 82 MB with the
/// defaults of the C library and 54 MB with these values. Call before other threads start.
void configure_allocator()
{
    constexpr int max_arenas = 2;
    constexpr int mmap_threshold_bytes = 64 * 1024;
    ::mallopt(M_ARENA_MAX, max_arenas);
    ::mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
}

std::size_t history_bytes(const settings& values)
{
    return std::size_t{values.memory.history_mb} * 1024 * 1024;
}

/// Replicas hold only the text of the last seconds, so they need less memory than the histories.
std::size_t replica_bytes(const settings& values)
{
    return history_bytes(values) / 4;
}

/// Owns and connects the components of one entry process.
class entry_role {
public:
    explicit entry_role(const settings& values)
        : m_process(values, member_role::entry), m_id(values.identity.instance_id.text()),
          m_tools(max_tool_connections, m_process.counts()),
          m_history(std::make_shared<history_memory>(history_bytes(values) - replica_bytes(values)))
    {
    }

    bool start();
    void stop();

private:
    void spawn_workers();
    std::vector<caf::actor> spawn_partitions();
    owner_settings settings_of(std::uint32_t partition) const;
    void record_first_token(const call_options& options, const turn_runner::attempt_result& attempt);
    void add_rpc_methods();
    void add_routes();
    std::uint64_t hand_over_partitions();

    role_process m_process;
    std::string m_id;
    http_tool_client m_tools;
    std::shared_ptr<history_memory> m_history;
    entry_metrics m_metrics;
    caf::actor m_peers;
    caf::actor m_replicas;
    caf::actor m_releases;
    caf::actor m_ownership;
    caf::actor m_slots;
    std::vector<caf::actor> m_platform;
    caf::actor m_head_reader; ///< separate: its reads during an outage must not delay the writes of owned partitions
    std::unique_ptr<partition_router> m_router;
    std::unique_ptr<turn_runner> m_turns;
    std::unique_ptr<tool_runner> m_tool_runner;
    std::unique_ptr<caller_api> m_callers;
    std::unique_ptr<control_api> m_control;
};

bool entry_role::start()
{
    if (!m_process.bind()) {
        return false;
    }
    spawn_workers();
    const std::vector<caf::actor> partitions = spawn_partitions();
    m_router = std::make_unique<partition_router>(&m_process.shared(), partitions);
    m_turns = std::make_unique<turn_runner>(&m_process.shared(), m_slots, &m_process.engines(),
                                            static_cast<std::uint64_t>(steady_now().count()));
    m_turns->set_observer([this](const call_options& options, const turn_runner::attempt_result& attempt) {
        record_first_token(options, attempt);
    });
    m_tool_runner = std::make_unique<tool_runner>(&m_process.shared(), &m_tools);
    m_callers = std::make_unique<caller_api>(m_process.shared(), *m_router, *m_turns, *m_tool_runner, m_metrics, m_id);
    add_rpc_methods();
    add_routes();
    m_process.start(m_ownership, m_slots);
    caf::anon_send(m_ownership, partition_controllers{partitions});
    return true;
}

void entry_role::spawn_workers()
{
    caf::actor_system& actors = m_process.actors();
    for (std::size_t n = 0; n < platform_workers; ++n) {
        m_platform.push_back(m_process.register_actor(actors.spawn<caf::detached>(
            platform_worker, m_process.platform_address(), platform_timeout, &m_process.counts())));
    }
    m_head_reader = m_process.register_actor(actors.spawn<caf::detached>(platform_worker, m_process.platform_address(),
                                                                         platform_timeout, &m_process.counts()));
    m_peers = m_process.register_actor(actors.spawn(peer_controller, m_process.key().rpc_token()));
    replica_limits replica_store_limits;
    replica_store_limits.max_bytes = replica_bytes(m_process.values());
    m_replicas =
        m_process.register_actor(actors.spawn(replica_controller, m_id, m_process.start_time(), replica_store_limits));
    m_releases = m_process.register_actor(
        actors.spawn<caf::detached>(release_controller, &m_process.shared(), &m_process.engines()));
    m_slots = m_process.register_actor(
        actors.spawn(slot_controller, m_id, m_process.start_time(), &m_process.shared(), &m_process.sender()));
    ownership_options options;
    options.self = m_id;
    options.start_time = m_process.start_time();
    options.partitions = m_process.values().partitions.count;
    options.presumed_down = milliseconds(m_process.values().timing.presumed_down_ms);
    m_ownership = m_process.register_actor(
        actors.spawn(ownership_controller, options, ownership_receivers{m_peers, m_head_reader}, &m_process.shared()));
}

owner_settings entry_role::settings_of(std::uint32_t partition) const
{
    constexpr std::size_t writer_id_bytes = 8;
    const settings& values = m_process.values();
    owner_settings result;
    result.partition = partition;
    const member_address& address = m_process.self().address;
    result.self = {m_id, to_string(network_address{address.ip, address.rpc_port})};
    result.incarnation = m_process.start_time();
    result.failure_domain = values.identity.failure_domain.text();
    result.writer = random_hex(writer_id_bytes);
    result.memory = m_history;
    result.all_backups_timeout = milliseconds(values.timing.replica_wait_ms);
    result.confirm_timeout = milliseconds(values.timing.intent_confirmation_ms);
    return result;
}

std::vector<caf::actor> entry_role::spawn_partitions()
{
    std::vector<caf::actor> partitions;
    for (std::uint32_t partition = 0; partition < m_process.values().partitions.count; ++partition) {
        const partition_receivers receivers{
            m_platform[partition % m_platform.size()], m_peers, m_replicas, m_releases, m_ownership, m_id};
        partitions.push_back(m_process.register_actor(
            m_process.actors().spawn(partition_controller, settings_of(partition), receivers)));
    }
    return partitions;
}

void entry_role::record_first_token(const call_options& options, const turn_runner::attempt_result& attempt)
{
    const auto documents = m_process.shared().documents.read();
    const auto it = documents->services.find(options.service);
    if (!attempt.delivered_first_token() || it == documents->services.end()) {
        return;
    }
    const class_settings& objectives = it->second->document.classes.at(index_of(options.priority));
    m_metrics.count_first_token(options, attempt.target, attempt.first_token - options.started, objectives);
}

void entry_role::add_rpc_methods()
{
    m_process.rpc().add("replicate", [this](const nlohmann::json& parameters) {
        const replica_request request{parameters.get<replicate_request>()};
        const auto reply = request_and_wait<replicate_reply>(m_process.actors(), m_replicas, request);
        if (reply && reply->status == replicate_status::accepted) {
            caf::anon_send(m_ownership, replica_stored{request.message.partition, request.message.epoch});
        }
        return reply ? nlohmann::json(*reply) : throw std::invalid_argument("the replica store does not answer");
    });
    m_process.rpc().add("fetch", [this](const nlohmann::json& parameters) {
        const replica_fetch request{parameters.get<fetch_request>()};
        const auto reply = request_and_wait<fetch_reply>(m_process.actors(), m_replicas, request);
        return reply ? nlohmann::json(*reply) : throw std::invalid_argument("the replica store does not answer");
    });
    m_process.rpc().add("take_over", [this](const nlohmann::json& parameters) {
        caf::anon_send(m_ownership, takeover_request{parameters.at("partition").get<std::uint32_t>()});
        return nlohmann::json::object();
    });
}

void entry_role::add_routes()
{
    httplib::Server& server = m_process.http().server();
    m_callers->attach(server);
    m_control = std::make_unique<control_api>(control_dependencies{
        &m_process.actors(), [this] { return m_process.membership(); }, m_process.documents(), &m_process.shared(),
        m_router.get(), &m_process.counts(), m_process.platform_address(), m_process.values().keys.operators.reveal()});
    m_control->attach(server);
    server.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(m_metrics.text(), "text/plain; version=0.0.4");
    });
}

std::uint64_t entry_role::hand_over_partitions()
{
    return request_and_wait<std::uint64_t>(m_process.actors(), m_ownership, stop_atom::value).value_or(0);
}

void entry_role::stop()
{
    log(log_part::main, log_level::info, "Stopping.", field("id", m_id));
    const timestamp stop_started = steady_now();
    m_process.shared().stopping.write(true);
    // No handover if superseded: the newer process has the same id and takes over these partitions itself.
    const bool superseded = *m_process.shared().superseded.read();
    if (!superseded) {
        caf::anon_send(m_process.membership(), drain_request{});
    }
    const timestamp addresses_cached_until = stop_started + milliseconds(m_process.values().timing.address_ttl_ms);
    while (steady_now() < stop_started + stop_timeout) {
        const std::uint64_t partitions = superseded ? 0 : hand_over_partitions();
        const bool alone = m_process.shared().members.read()->entries.empty();
        if (steady_now() >= addresses_cached_until && m_callers->active() == 0 && (partitions == 0 || alone)) {
            break;
        }
        std::this_thread::sleep_for(stop_poll_interval);
    }
    m_process.stop();
    log(log_part::main, log_level::info, "Stopped.", field("id", m_id));
}

} // namespace

int run_entry_role(const std::vector<std::string>& args)
{
    const role_options_result start = read_role_options("entry", args, std::cout, std::cerr);
    if (!start.values) {
        return start.status;
    }
    configure_allocator();
    block_stop_signals();
    apply_log_settings(start.values->log);
    entry_role role(*start.values);
    if (!role.start()) {
        return exit_refused;
    }
    wait_for_stop_signal();
    role.stop();
    return exit_done;
}

} // namespace lagoonferry
