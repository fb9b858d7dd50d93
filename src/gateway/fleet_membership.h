#pragma once

#include "gateway/gateway_settings.h"
#include "membership/member_table.h"
#include "net/http_types.h"
#include "peer/cluster_key.h"
#include "peer/datagram_codec.h"

#include <nlohmann/json_fwd.hpp>

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

/// Times of the heartbeats between gateways.
struct fleet_timing {
    timestamp heartbeat = std::chrono::milliseconds(400);
    /// Each member is contacted at least once in this time, up to `max_full_mesh_gateways`.
    timestamp contact_interval = std::chrono::milliseconds(1'000);
    timestamp suspicion = std::chrono::milliseconds(1'400);
    timestamp presumed_down = std::chrono::milliseconds(2'200);
    /// How long a lost gateway counts as a holder of records: as long as records live.
    timestamp loss_retention = std::chrono::seconds(75);
    /// Time in which records are handed to a gateway that has just started.
    timestamp handover_period = std::chrono::milliseconds(1'500);
    /// A pause of this process that others may have taken for its end.
    timestamp pause_threshold = std::chrono::milliseconds(1'500);
    /// Least time between two looks for members that have fallen silent. At each of 150 heartbeats a second, as in a
    /// fleet of 77, the looks took more processor time than the heartbeats.
    timestamp silence_check_interval = std::chrono::milliseconds(50);
};

/// The other gateways: who they are, who is alive, and datagrams to them. Runs on one event loop; not thread-safe.
class fleet_membership {
public:
    using handler = std::function<void(const std::string& sender, const nlohmann::json& body)>;

    fleet_membership(const asio::any_io_executor& loop, const gateway_settings& settings, fleet_timing timing = {});

    /// Opens the socket and starts heartbeats. Returns false, with a log line, if the port cannot be opened.
    bool start();

    /// Sets what is called for datagrams of a kind.
    void on(datagram_kind kind, handler call) { m_handlers[kind] = std::move(call); }

    /// Sets what is called when another gateway, `sender`, knows a newer routing document.
    void on_newer_document(std::function<void(std::uint64_t version, const std::string& sender)> call)
    {
        m_on_newer_document = std::move(call);
    }

    /// Adds gateways that may run at these addresses, from the store's list.
    void add_members(std::span<const listed_instance> found);

    void set_seeds(std::vector<std::string> ips) { m_seed_ips = std::move(ips); }

    /// Sets the version that heartbeats tell.
    void set_document_version(std::uint64_t version) { m_document_version = version; }

    /// Tells all others the version at once.
    void announce_document();

    /// Sets whether heartbeats tell that this gateway would hear of a newer document from the store.
    void set_watches_document(bool watches) { m_watches_document = watches; }

    /// Returns whether, within `span` before now, another gateway told that it would hear of a newer document from the
    /// store, and that this one has the newest.
    bool document_watched_within(timestamp span) const;

    /// Tells the others that this gateway stops.
    void leave();

    /// Returns the live gateways that do not stop, with this one unless it stops, by id. Valid until the loop runs on.
    const std::vector<member>& usable() const { return m_usable; }

    /// Returns the ids of the live gateways, the owner of `key` first, by rendezvous hashing.
    std::vector<std::string> ranked(std::string_view key) const;

    /// Returns the position of this gateway among the live ones for a key; 0 is first.
    std::size_t own_rank(std::string_view key) const;

    /// Returns whether this gateway would have a record that the first `replica_count` gateways for a key keep: it is
    /// one of them, also counting gateways that were lost lately, and was not lost itself.
    bool is_replica_of(std::string_view key, std::size_t replica_count) const;

    /// Returns whether all other gateways that such a record was kept at were lost lately. Also counts this one when it
    /// is leaving.
    bool is_last_replica_of(std::string_view key, std::size_t replica_count) const;

    /// Returns another live gateway that would have such a record, or an empty text.
    std::string other_replica_of(std::string_view key, std::size_t replica_count) const;

    /// Returns whether this gateway hears at least half of the others it knows, and was not paused lately. Others may
    /// act for it otherwise.
    bool well_connected() const;

    /// Returns whether a datagram of a gateway arrived within `span` before now.
    bool seen_within(std::string_view id, timestamp span) const;

    /// Sends to one gateway. Datagrams may be lost; an unknown receiver is ignored.
    void send(std::string_view id, datagram_kind kind, const nlohmann::json& body);

    /// Returns whether there are too many gateways for all to tell all what changes all the time.
    bool is_large() const;

    /// Sends to `count` of the live gateways, chosen at random.
    void send_to_random(std::size_t count, datagram_kind kind, const nlohmann::json& body);

    /// Sends to the other live gateways of the failure domain of this one, also to those that are stopping.
    void send_to_own_domain(datagram_kind kind, const nlohmann::json& body);

    /// Sends to all live gateways, also to those that are stopping.
    void broadcast(datagram_kind kind, const nlohmann::json& body);

    const std::string& own_id() const { return m_settings.id; }

private:
    asio::awaitable<void> beat();
    asio::awaitable<void> receive();
    void send_heartbeats(timestamp now);
    void note_pause(timestamp now);
    void renew_if_superseded(timestamp now);
    void on_datagram(const datagram& message, const udp::endpoint& from);
    void on_heartbeat(const heartbeat& message, const udp::endpoint& from);
    void on_documents(const heartbeat& message, timestamp now);
    void send_to_live(datagram_kind kind, const nlohmann::json& body, std::string_view failure_domain);
    std::vector<std::byte> encode(datagram_kind kind, const nlohmann::json& body) const;
    void send_to(const udp::endpoint& to, std::span<const std::byte> datagram);
    member own_member(std::uint64_t incarnation) const;
    std::vector<document_version> documents() const;
    void refresh(timestamp now);
    void note_losses(const std::vector<member>& before, timestamp now);
    void ask_for_losses();
    void on_losses_ask(const std::string& sender);
    void on_losses(const nlohmann::json& body);
    std::vector<std::string> keepers(std::string_view key, std::size_t replica_count) const;
    std::set<std::string, std::less<>> lost_ids() const;
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
    timestamp m_started;
    std::map<datagram_kind, handler> m_handlers;
    std::function<void(std::uint64_t, const std::string&)> m_on_newer_document;
    std::uint64_t m_document_version = 0;
    bool m_watches_document = false;
    timestamp m_document_watched_at{};   ///< last telling of another gateway that watches
    std::uint64_t m_watched_version = 0; ///< the newest that such a gateway told
    std::uint64_t m_renewals = 0;
    std::map<std::string, timestamp, std::less<>> m_last_heard;
    timestamp m_last_beat{};
    timestamp m_paused_until{};
    std::map<std::string, timestamp, std::less<>> m_lost_until; ///< gateways that went without a handover
    std::optional<timestamp> m_losses_known_at;                 ///< since when `m_lost_until` holds all losses
    std::vector<member> m_usable;                               ///< by id, as of `m_refreshed_at`
    timestamp m_refreshed_at{};
    std::uint64_t m_changes_seen = 0; ///< of the member table at `m_refreshed_at`
    std::array<std::byte, receive_bytes> m_buffer{};
};

} // namespace lagoonferry
