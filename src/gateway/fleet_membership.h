#pragma once

#include "gateway/gateway_settings.h"
#include "membership/member_table.h"
#include "net/http_types.h"
#include "peer/cluster_key.h"
#include "peer/datagram_codec.h"

#include <nlohmann/json_fwd.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// Intervals and timeouts of the membership protocol between gateways.
struct fleet_timing {
    timestamp heartbeat_interval = std::chrono::milliseconds(400);
    /// Each member is contacted at least once in this time, in fleets of up to `max_full_mesh_gateways`.
    timestamp contact_interval = std::chrono::milliseconds(1'000);
    timestamp suspicion_timeout = std::chrono::milliseconds(1'400);
    timestamp presumed_down_timeout = std::chrono::milliseconds(2'200);
    /// Time for which a lost gateway still counts as a replica of records: the lifetime of a record.
    timestamp loss_retention = std::chrono::seconds(75);
    /// Time in which records are handed to a gateway that has just started.
    timestamp handover_period = std::chrono::milliseconds(1'500);
    /// After a pause of this process that is longer than this, others may have presumed it down.
    timestamp pause_threshold = std::chrono::milliseconds(1'500);
    /// Minimum time between two checks for silent members. With a check at each heartbeat, 150 a second in a fleet of
    /// 77, the checks took more CPU time than the heartbeats.
    timestamp silence_check_interval = std::chrono::milliseconds(50);
};

/// Membership of the fleet of gateways: which gateways exist and which are alive, and datagrams to them. Runs on one
/// event loop; not thread-safe.
class fleet_membership {
public:
    using handler = std::function<void(const std::string& sender, const nlohmann::json& body)>;

    fleet_membership(const asio::any_io_executor& loop, const gateway_settings& settings, fleet_timing timing = {});

    /// Opens the socket and starts heartbeats. Logs an error and returns false if the port cannot be opened.
    bool start();

    /// Sets the handler for datagrams of a kind.
    void on(datagram_kind kind, handler call) { m_handlers[kind] = std::move(call); }

    /// Sets the callback for a heartbeat in which another gateway, `sender`, announces a newer routing document.
    void on_newer_document(std::function<void(std::uint64_t version, const std::string& sender)> call)
    {
        m_on_newer_document = std::move(call);
    }

    /// Adds gateways from the list in the store. They may not be running.
    void add_members(std::span<const listed_instance> found);

    void set_seeds(std::vector<std::string> ips) { m_seed_ips = std::move(ips); }

    /// Sets the version of the routing document that heartbeats announce.
    void set_document_version(std::uint64_t version) { m_document_version = version; }

    /// Announces the version to all other gateways at once.
    void announce_document();

    /// Sets whether heartbeats announce that this gateway watches the routing document in the store.
    void set_watches_document(bool watches) { m_watches_document = watches; }

    /// Returns whether another gateway announced within `span` before now that it watches the routing document in the
    /// store, and this gateway has the newest version that such a gateway announced.
    bool document_watched_within(timestamp span) const;

    /// Announces to the other gateways that this one stops.
    void leave();

    /// Returns the live gateways that are not stopping, ordered by id. This gateway is one of them unless it is
    /// stopping. The reference is valid until the event loop runs again.
    const std::vector<member>& usable() const { return m_usable; }

    /// Returns the ids of the live gateways, ranked for `key` by rendezvous hashing: its owner first.
    std::vector<std::string> ranked(std::string_view key) const;

    /// Returns the rank of this gateway among the live ones for a key; 0 is the first.
    std::size_t own_rank(std::string_view key) const;

    /// Returns the live gateway that holds the copy of a record of this one: the first other one for `key`, or nullptr.
    /// The pointer is valid until the event loop runs again.
    const member* first_other(std::string_view key) const;

    /// Returns whether this gateway would have the record of `key`, which the first `replica_count` gateways for the
    /// key hold: it is one of these, where recently lost gateways are counted too, and was not lost itself.
    bool is_replica_of(std::string_view key, std::size_t replica_count) const;

    /// Returns the ids of the first `count` other live gateways, ranked for `key`. They may have its record even if
    /// they are not among its replicas now.
    std::vector<std::string> others_ranked(std::string_view key, std::size_t count) const;

    /// Returns whether at least half of the known gateways are usable, and this process was not paused recently.
    /// Otherwise others may act in place of this gateway.
    bool well_connected() const;

    /// Notices that this process was paused, if it was. Called before each decision that others may have made
    /// meanwhile, as the first one after a pause may come before the next heartbeat.
    void detect_pause();

    /// Returns how often this gateway was paused or cut off. After that others may have acted in its place.
    std::uint64_t rejoins() const { return m_rejoins; }

    /// Returns whether a datagram of a gateway was received within `span` before now.
    bool seen_within(std::string_view id, timestamp span) const;

    /// Returns the share of a fleet-wide limit that the gateways which this one reaches may grant together. Small
    /// losses are ignored, so that a limit does not shrink when single gateways end.
    double reachable_share() const;

    /// Returns the number of known gateways, with those that are not reached and this one.
    std::size_t gateway_count() const;

    /// Returns since when the set of live gateways has been the same, and this process neither paused nor cut off.
    timestamp settled_since() const { return std::max(m_present_since, m_usable_since); }

    /// Sends a datagram to one gateway. It may be lost; an unknown receiver is ignored.
    void send(std::string_view id, datagram_kind kind, const nlohmann::json& body);

    /// Returns whether the fleet is too large for frequent broadcasts; see `max_full_mesh_gateways`.
    bool is_large() const;

    /// Sends a datagram to `count` of the other live gateways, chosen at random.
    void send_to_random(std::size_t count, datagram_kind kind, const nlohmann::json& body);

    /// Sends a datagram to the other live gateways of this failure domain, including stopping ones.
    void send_to_own_domain(datagram_kind kind, const nlohmann::json& body);

    /// Sends a datagram to all other live gateways, including stopping ones.
    void broadcast(datagram_kind kind, const nlohmann::json& body);

    const std::string& own_id() const { return m_settings.id; }

private:
    asio::awaitable<void> run_heartbeats();
    asio::awaitable<void> receive();
    void send_heartbeats(timestamp now);
    void detect_cut(timestamp now);
    void rejoin(timestamp now);
    bool reaches_majority() const;
    void renew_if_superseded(timestamp now);
    void on_datagram(const datagram& message, const udp::endpoint& from);
    void on_heartbeat(const heartbeat& message, const udp::endpoint& from);
    void on_document_versions(const heartbeat& message, timestamp now);
    void send_to_live(datagram_kind kind, const nlohmann::json& body, std::string_view failure_domain);
    std::vector<std::byte> encode(datagram_kind kind, const nlohmann::json& body) const;
    void send_to(const udp::endpoint& to, std::span<const std::byte> datagram);
    member own_member(std::uint64_t incarnation) const;
    std::vector<document_version> documents() const;
    void refresh_usable(timestamp now);
    void record_losses(const std::vector<member>& before, timestamp now);
    void request_losses();
    void on_losses_request(const std::string& sender);
    void on_losses(const nlohmann::json& body);
    std::vector<std::string> live_replicas(std::string_view key, std::size_t replica_count) const;
    std::set<std::string, std::less<>> former_replicas() const;
    bool knows_losses(timestamp now) const;

    static constexpr std::size_t receive_bytes = 2'048;

    asio::any_io_executor m_loop;
    gateway_settings m_settings;
    fleet_timing m_timing;
    cluster_key m_key;
    udp::socket m_socket;
    std::unique_ptr<member_table> m_table;
    std::vector<std::string> m_seed_ips;
    std::minstd_rand m_random;
    timestamp m_present_since; ///< start of this process, or the end of its last pause or cut
    std::map<datagram_kind, handler> m_handlers;
    std::function<void(std::uint64_t, const std::string&)> m_on_newer_document;
    std::uint64_t m_document_version = 0;
    bool m_watches_document = false;
    timestamp m_document_watched_at{};   ///< when a gateway last announced that it watches the document
    std::uint64_t m_watched_version = 0; ///< the newest version that such a gateway announced
    std::uint64_t m_renewals = 0;
    std::uint64_t m_rejoins = 0;
    std::map<std::string, timestamp, std::less<>> m_last_seen;
    timestamp m_last_active_at{}; ///< of the boot clock, when this process last sent a heartbeat or received a datagram
    timestamp m_paused_until{};
    std::map<std::string, timestamp, std::less<>> m_lost_until;         ///< gateways that ended without a handover
    std::map<std::string, timestamp, std::less<>> m_handing_over_until; ///< gateways that have just left
    std::optional<timestamp> m_losses_known_at;                         ///< when `m_lost_until` becomes complete
    std::map<std::string, std::uint64_t, std::less<>> m_silent;         ///< process starts of gateways that fell silent
    bool m_connected = true;                    ///< at least half of the known gateways are usable
    std::vector<member> m_usable;               ///< by id, as of `m_refreshed_at`
    std::vector<std::uint64_t> m_usable_hashes; ///< `stable_hash` of the ids in `m_usable`
    timestamp m_refreshed_at{};
    timestamp m_usable_since{};       ///< when a gateway was last added to `m_usable` or removed
    std::uint64_t m_changes_seen = 0; ///< change counter of the member table at `m_refreshed_at`
    std::array<std::byte, receive_bytes> m_buffer{};
};

} // namespace lagoonferry
