#include "gateway/fleet_membership.h"

#include "gateway/record_replicas.h"
#include "limits/share_of_reached.h"
#include "net/pause.h"
#include "net/spawn.h"
#include "util/log.h"
#include "util/rendezvous.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ranges>
#include <utility>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Name of the routing document among the versions that heartbeats carry.
constexpr std::string_view document_name = "routing";

/// Second name with the same version, sent by gateways that watch the document in the store.
constexpr std::string_view watched_document_name = "routing-watched";

/// In a large fleet a gateway receives few heartbeats, so the others relay the newest sign of a watching gateway: the
/// version that it announced, and the age of its announcement in ms.
constexpr std::string_view relayed_version_name = "routing-watch-heard";
constexpr std::string_view relayed_age_name = "routing-watch-age";
constexpr milliseconds max_relayed_age{10'000};

/// Minimum receivers of a heartbeat in a small fleet.
constexpr std::size_t min_heartbeat_receivers = 3;

/// Receivers of a heartbeat in a large fleet. It carries gossip on all gateways.
constexpr std::size_t gossip_receivers = 4;

/// After a pause of this process others may act in its place for this time.
constexpr milliseconds recovery_after_pause{3'000};

/// If the clock was set back, a new process gets a lower incarnation than its predecessor. Each renewal of the
/// incarnation adds this much.
constexpr std::uint64_t incarnation_step_ms = 10'000;

std::uint64_t wall_clock_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

/// Returns a monotonic time that includes the time in which the machine was suspended.
timestamp boot_clock()
{
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return std::chrono::seconds(ts.tv_sec) +
           std::chrono::duration_cast<timestamp>(std::chrono::nanoseconds(ts.tv_nsec));
}

std::optional<udp::endpoint> endpoint_of(const std::string& ip, std::uint16_t port)
{
    error_code ec;
    const auto address = asio::ip::make_address(ip, ec);
    return ec || port == 0 ? std::nullopt : std::optional(udp::endpoint(address, port));
}

/// Heartbeat rounds (2 s) in which replies to a new gateway carry updates on all members in turn. A few are enough,
/// because a gateway reads the addresses of the others from the store.
constexpr std::uint64_t bootstrap_rounds = 5;

member_timing make_member_timing(const fleet_timing& timing)
{
    member_timing times;
    times.suspicion = timing.suspicion_timeout;
    times.presumed_down = timing.presumed_down_timeout;
    times.bootstrap_rounds = bootstrap_rounds;
    return times;
}

} // namespace

fleet_membership::fleet_membership(const asio::any_io_executor& loop, const gateway_settings& settings,
                                   fleet_timing timing)
    : m_loop(loop), m_settings(settings), m_timing(timing),
      // The platform provides no secret. The store's address separates the gateways of different systems.
      m_key(settings.store.ip + ":" + std::to_string(settings.store.port)), m_socket(loop),
      m_seed_ips(settings.seed_ips), m_random(static_cast<std::minstd_rand::result_type>(stable_hash(settings.id))),
      m_present_since(steady_now())
{
    const timestamp now = m_present_since;
    m_table = std::make_unique<member_table>(own_member(first_incarnation(wall_clock_ms())), make_member_timing(timing),
                                             settings.datagram_port, stable_hash(settings.id), now);
    m_last_active_at = boot_clock();
    if (settings.first_start) {
        m_losses_known_at = now;
    }
    refresh_usable(now);
}

member fleet_membership::own_member(std::uint64_t incarnation) const
{
    member self;
    self.id = m_settings.id;
    self.incarnation = incarnation;
    self.role = member_role::entry;
    self.address = {m_settings.ip, m_settings.callers.port, m_settings.datagram_port, 0};
    self.failure_domain = m_settings.failure_domain;
    self.capacity = std::clamp<std::uint32_t>(m_settings.capacity, 1, 100);
    return self;
}

bool fleet_membership::start()
{
    const auto own = endpoint_of(m_settings.ip, m_settings.datagram_port);
    error_code ec = asio::error::invalid_argument;
    if (own) {
        m_socket.open(udp::v4(), ec);
        if (!ec) {
            m_socket.bind(*own, ec);
        }
    }
    if (ec) {
        log(log_part::membership, log_level::error, "Cannot open the datagram socket.", field("ip", m_settings.ip),
            field("port", m_settings.datagram_port), field("reason", ec.message()));
        return false;
    }
    on(datagram_kind::losses_request, [this](const auto& sender, const auto& /*body*/) { on_losses_request(sender); });
    on(datagram_kind::losses, [this](const auto& /*sender*/, const auto& body) { on_losses(body); });
    spawn_restarting(
        m_loop, [this] { return receive(); }, "datagrams");
    spawn_restarting(
        m_loop, [this] { return run_heartbeats(); }, "heartbeats");
    return true;
}

asio::awaitable<void> fleet_membership::run_heartbeats()
{
    while (true) {
        const timestamp now = steady_now();
        detect_pause();
        renew_if_superseded(now);
        send_heartbeats(now);
        refresh_usable(now);
        if (!m_losses_known_at) {
            request_losses();
        }
        co_await pause(m_loop, std::chrono::duration_cast<milliseconds>(m_timing.heartbeat_interval));
    }
}

void fleet_membership::detect_pause()
{
    const timestamp pause = boot_clock() - m_last_active_at;
    m_last_active_at += pause;
    if (pause <= m_timing.pause_threshold) {
        return;
    }
    m_paused_until = m_last_active_at + recovery_after_pause;
    log(log_part::membership, log_level::warning, "This process was paused.", field("ms", pause.count() / 1'000));
    m_table->exclude_pause(pause, steady_now());
    rejoin(steady_now());
}

// While this gateway was paused or cut off, records changed at others. They count it as lost, so it has to do the same:
// that it has no record of a program does not mean that the program is new.
void fleet_membership::rejoin(timestamp now)
{
    m_present_since = now;
    m_lost_until[m_settings.id] = now + m_timing.loss_retention;
    m_losses_known_at.reset();
    ++m_rejoins;
    request_losses();
}

// When most others fell silent and are back without a restart, this gateway was cut off. It took them for lost
// meanwhile.
void fleet_membership::detect_cut(timestamp now)
{
    const bool was_connected = std::exchange(m_connected, reaches_majority());
    std::size_t returned = 0;
    std::size_t restarted = 0;
    for (const member& item : m_usable) {
        const auto it = m_silent.find(item.id);
        if (it != m_silent.end()) {
            ++(it->second == process_start(item.incarnation) ? returned : restarted);
        }
    }
    if (!was_connected && m_connected && returned > restarted) {
        log(log_part::membership, log_level::warning, "This gateway was cut off from the others.",
            field("returned", returned), field("restarted", restarted));
        std::erase_if(m_lost_until, [this](const auto& pair) { return m_silent.contains(pair.first); });
        m_silent.clear();
        rejoin(now);
    }
    if (m_connected) {
        std::ranges::for_each(m_usable, [this](const member& item) { m_silent.erase(item.id); });
    }
}

bool fleet_membership::reaches_majority() const
{
    return m_usable.size() * 2 >= m_table->members(member_role::entry).size();
}

// The incarnation of a process is derived from the wall clock, which may have been set back since the former start.
void fleet_membership::renew_if_superseded(timestamp now)
{
    if (!m_table->superseded()) {
        return;
    }
    ++m_renewals;
    log(log_part::membership, log_level::warning,
        "Other gateways know a later incarnation of this gateway; choosing a later one.",
        field("renewals", m_renewals));
    m_table = std::make_unique<member_table>(
        own_member(first_incarnation(wall_clock_ms() + m_renewals * incarnation_step_ms)), make_member_timing(m_timing),
        m_settings.datagram_port, stable_hash(m_settings.id), now);
}

std::vector<document_version> fleet_membership::documents() const
{
    std::vector<document_version> versions{{std::string(document_name), m_document_version}};
    if (m_watches_document) {
        versions.push_back({std::string(watched_document_name), m_document_version});
    }
    else if (const timestamp age = steady_now() - m_document_watched_at; is_large() && age < max_relayed_age) {
        versions.push_back({std::string(relayed_version_name), m_watched_version});
        versions.push_back({std::string(relayed_age_name),
                            static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0) / 1'000)});
    }
    return versions;
}

void fleet_membership::send_heartbeats(timestamp now)
{
    std::set<std::string, std::less<>> contacts;
    std::ranges::transform(m_table->members(member_role::entry), std::inserter(contacts, contacts.end()), &member::id);
    contacts.erase(m_settings.id);
    const std::size_t known = contacts.size();
    m_table->set_contacts(std::move(contacts), now);
    const bool large = known > m_settings.max_full_mesh_gateways;
    m_table->set_gossip(large);
    heartbeat message = m_table->next_heartbeat(documents(), {}, now);
    const auto rounds = static_cast<std::size_t>(m_timing.contact_interval / m_timing.heartbeat_interval);
    const std::size_t peers =
        large ? gossip_receivers
              : std::max(min_heartbeat_receivers, (known + rounds - 1) / std::max<std::size_t>(rounds, 1));
    const std::vector<member> receivers = m_table->next_peers(peers, now);
    message.wants_reply = receivers.empty();
    const auto bytes = encode(datagram_kind::heartbeat, to_json(message));
    for (const member& to : receivers) {
        if (const auto address = endpoint_of(to.address.ip, to.address.datagram_port)) {
            send_to(*address, bytes);
        }
    }
    if (receivers.empty()) {
        for (const std::string& ip : m_seed_ips) {
            const auto address = endpoint_of(ip, m_settings.datagram_port);
            if (address && ip != m_settings.ip) {
                send_to(*address, bytes);
            }
        }
    }
}

asio::awaitable<void> fleet_membership::receive()
{
    udp::endpoint from;
    while (true) {
        const auto [ec, n] = co_await m_socket.async_receive_from(asio::buffer(m_buffer), from, use_nothrow_awaitable);
        if (ec) {
            if (ec == asio::error::operation_aborted) {
                co_return;
            }
            continue; // an ICMP error for an earlier send
        }
        if (const auto message = decode_datagram(std::span(m_buffer).first(n), m_key)) {
            on_datagram(*message, from);
        }
    }
}

void fleet_membership::on_datagram(const datagram& message, const udp::endpoint& from)
{
    const auto body = decode_cbor(message.body);
    if (!body || message.sender == m_settings.id) {
        return;
    }
    detect_pause();
    const timestamp now = steady_now();
    m_table->update_last_seen(message.sender, now);
    m_last_seen[message.sender] = now;
    if (message.kind == datagram_kind::heartbeat) {
        if (const auto parsed = heartbeat_from_json(*body)) {
            on_heartbeat(*parsed, from);
        }
    }
    else if (const auto it = m_handlers.find(message.kind); it != m_handlers.end()) {
        it->second(message.sender, *body);
    }
}

void fleet_membership::on_heartbeat(const heartbeat& message, const udp::endpoint& from)
{
    const timestamp now = steady_now();
    const bool wants_reply = m_table->receive(message, now);
    if (wants_reply) {
        heartbeat reply = m_table->reply(message, {}, now);
        reply.documents = documents();
        send_to(from, encode(datagram_kind::heartbeat, to_json(reply)));
    }
    if (m_table->change_count() != m_changes_seen || now - m_refreshed_at >= m_timing.silence_check_interval) {
        refresh_usable(now);
    }
    on_document_versions(message, now);
}

void fleet_membership::on_document_versions(const heartbeat& message, timestamp now)
{
    const auto version_of = [&message](std::string_view name) {
        const auto it = std::ranges::find(message.documents, name, &document_version::service);
        return it == message.documents.end() ? std::nullopt : std::optional(it->version);
    };
    if (const auto watched = version_of(watched_document_name)) {
        m_document_watched_at = now;
        m_watched_version = std::max(m_watched_version, *watched);
    }
    const auto relayed = version_of(relayed_version_name);
    const auto age_ms = version_of(relayed_age_name);
    if (relayed && age_ms && *age_ms <= static_cast<std::uint64_t>(max_relayed_age.count())) {
        m_document_watched_at = std::max<timestamp>(m_document_watched_at, now - milliseconds(*age_ms));
        m_watched_version = std::max(m_watched_version, *relayed);
    }
    const auto known = version_of(document_name);
    if (known && *known > m_document_version && m_on_newer_document) {
        m_on_newer_document(*known, message.sender.subject.id);
    }
}

bool fleet_membership::document_watched_within(timestamp span) const
{
    return m_document_watched_at != timestamp{} && steady_now() - m_document_watched_at <= span &&
           m_document_version >= m_watched_version;
}

void fleet_membership::announce_document()
{
    broadcast(datagram_kind::heartbeat, to_json(m_table->next_heartbeat(documents(), {}, steady_now())));
}

void fleet_membership::add_members(std::span<const listed_instance> found)
{
    const timestamp now = steady_now();
    m_table->merge_instances(found, now);
    refresh_usable(now);
}

void fleet_membership::leave()
{
    const timestamp now = steady_now();
    m_table->mark_leaving(m_settings.id, now);
    send_heartbeats(now);
    refresh_usable(now);
    m_watches_document = false; // its watch of the store ends with the process
    announce_document();
}

void fleet_membership::refresh_usable(timestamp now)
{
    const std::vector<member> before = std::move(m_usable);
    m_usable = m_table->usable(member_role::entry, now);
    m_usable_hashes.clear();
    std::ranges::transform(m_usable, std::back_inserter(m_usable_hashes),
                           [](const member& item) { return stable_hash(item.id); });
    m_refreshed_at = now;
    m_changes_seen = m_table->change_count();
    if (!std::ranges::equal(before, m_usable, {}, &member::id, &member::id)) {
        m_usable_since = now;
    }
    record_losses(before, now);
    detect_cut(now);
}

// A gateway that stops in order hands its records over. One that falls silent, or is back after a restart, has lost
// them.
void fleet_membership::record_losses(const std::vector<member>& before, timestamp now)
{
    for (const member& item : before) {
        const auto present = m_table->find(item.id);
        const bool restarted =
            present && process_start(present->incarnation) != process_start(item.incarnation) && item.incarnation != 0;
        const bool silent = present && present->state == member_state::alive &&
                            !std::ranges::binary_search(m_usable, item.id, {}, &member::id);
        if (!present || restarted || silent || present->state == member_state::gone) {
            m_lost_until[item.id] = now + m_timing.loss_retention;
        }
        if (present && present->state == member_state::leaving) {
            m_handing_over_until[item.id] = now + m_timing.handover_period;
        }
        if (silent && item.incarnation != 0) {
            m_silent[item.id] = process_start(item.incarnation);
        }
    }
    std::erase_if(m_lost_until, [now](const auto& pair) { return pair.second < now; });
    std::erase_if(m_handing_over_until, [now](const auto& pair) { return pair.second < now; });
    // Losses that this gateway has not seen have expired by now.
    if (!m_losses_known_at && now - m_present_since > m_timing.loss_retention) {
        m_losses_known_at = now;
    }
}

bool fleet_membership::knows_losses(timestamp now) const
{
    return m_losses_known_at && now >= *m_losses_known_at && boot_clock() >= m_paused_until;
}

// The next replicas of a stopping gateway may not have its records yet.
std::set<std::string, std::less<>> fleet_membership::former_replicas() const
{
    std::set<std::string, std::less<>> ids;
    std::ranges::copy(m_lost_until | std::views::keys, std::inserter(ids, ids.end()));
    std::ranges::copy(m_handing_over_until | std::views::keys, std::inserter(ids, ids.end()));
    return ids;
}

// A record survives as long as at least one of its replicas was not lost.
std::vector<std::string> fleet_membership::live_replicas(std::string_view key, std::size_t replica_count) const
{
    std::vector<std::string> live;
    std::ranges::transform(m_usable, std::back_inserter(live), &member::id);
    return surviving_replicas(key, live, former_replicas(), replica_count);
}

bool fleet_membership::is_replica_of(std::string_view key, std::size_t replica_count) const
{
    const auto list = live_replicas(key, replica_count);
    return knows_losses(steady_now()) && std::ranges::find(list, m_settings.id) != list.end();
}

std::vector<std::string> fleet_membership::others_ranked(std::string_view key, std::size_t count) const
{
    std::vector<std::string> ids = ranked(key);
    std::erase(ids, m_settings.id);
    ids.resize(std::min(ids.size(), count));
    return ids;
}

// A gateway that was restarted, paused or cut off does not know which others were lost meanwhile.
void fleet_membership::request_losses()
{
    constexpr std::size_t max_requests = 3;
    std::size_t requests = 0;
    for (const member& item : m_usable) {
        if (item.id != m_settings.id && requests < max_requests) {
            send(item.id, datagram_kind::losses_request, nlohmann::json::object());
            ++requests;
        }
    }
}

void fleet_membership::on_losses_request(const std::string& sender)
{
    const timestamp now = steady_now();
    if (!knows_losses(now)) {
        return;
    }
    // Only a gateway that may lack records sends this request. Nothing else that shows this may have arrived here yet.
    m_lost_until[sender] = now + m_timing.loss_retention;
    nlohmann::json lost = nlohmann::json::object();
    for (const auto& [id, until] : m_lost_until) {
        lost[id] = (until - now).count() / 1'000;
    }
    send(sender, datagram_kind::losses, lost);
}

void fleet_membership::on_losses(const nlohmann::json& body)
{
    const timestamp now = steady_now();
    if (m_losses_known_at || !body.is_object()) {
        return;
    }
    for (const auto& [id, left_ms] : body.items()) {
        if (left_ms.is_number_integer()) {
            m_lost_until[id] = std::max(m_lost_until[id], now + milliseconds(left_ms.get<std::int64_t>()));
        }
    }
    m_losses_known_at = now + m_timing.handover_period;
    log(log_part::membership, log_level::info, "The list of lost gateways was received.",
        field("count", m_lost_until.size()), field("self_lost", m_lost_until.contains(m_settings.id)));
}

std::vector<std::string> fleet_membership::ranked(std::string_view key) const
{
    struct candidate {
        std::uint64_t weight;
        const std::string* id;
    };
    const std::uint64_t hash = stable_hash(key);
    std::vector<candidate> order;
    std::ranges::transform(m_usable, m_usable_hashes, std::back_inserter(order),
                           [hash](const member& item, std::uint64_t id_hash) {
                               return candidate{rendezvous_weight(hash, id_hash), &item.id};
                           });
    std::ranges::sort(order, std::greater{}, &candidate::weight);
    std::vector<std::string> ids;
    std::ranges::transform(order, std::back_inserter(ids), [](const candidate& item) { return *item.id; });
    return ids;
}

std::size_t fleet_membership::own_rank(std::string_view key) const
{
    if (!std::ranges::binary_search(m_usable, m_settings.id, {}, &member::id)) {
        return m_usable.size();
    }
    const std::uint64_t hash = stable_hash(key);
    const std::uint64_t own_weight = rendezvous_weight(hash, m_settings.id);
    return static_cast<std::size_t>(std::ranges::count_if(
        m_usable_hashes, [&](std::uint64_t id_hash) { return rendezvous_weight(hash, id_hash) > own_weight; }));
}

const member* fleet_membership::first_other(std::string_view key) const
{
    const std::uint64_t hash = stable_hash(key);
    const member* first = nullptr;
    std::uint64_t first_weight = 0;
    for (std::size_t n = 0; n < m_usable.size(); ++n) {
        const std::uint64_t weight = rendezvous_weight(hash, m_usable_hashes[n]);
        if ((first == nullptr || weight > first_weight) && m_usable[n].id != m_settings.id) {
            first = &m_usable[n];
            first_weight = weight;
        }
    }
    return first;
}

bool fleet_membership::well_connected() const
{
    return reaches_majority() && boot_clock() >= m_paused_until;
}

std::size_t fleet_membership::gateway_count() const
{
    return std::max<std::size_t>(1, m_table->members(member_role::entry).size());
}

double fleet_membership::reachable_share() const
{
    return share_of_reached(m_usable.size(), gateway_count());
}

bool fleet_membership::seen_within(std::string_view id, timestamp span) const
{
    const auto it = m_last_seen.find(id);
    return it != m_last_seen.end() && steady_now() - it->second <= span;
}

void fleet_membership::send(std::string_view id, datagram_kind kind, const nlohmann::json& body)
{
    const auto known = m_table->find(id);
    const auto address = known ? endpoint_of(known->address.ip, known->address.datagram_port) : std::nullopt;
    if (address) {
        send_to(*address, encode(kind, body));
    }
}

bool fleet_membership::is_large() const
{
    return m_usable.size() > m_settings.max_full_mesh_gateways;
}

void fleet_membership::send_to_random(std::size_t count, datagram_kind kind, const nlohmann::json& body)
{
    std::vector<const member*> others;
    for (const member& item : m_usable) {
        if (item.id != m_settings.id) {
            others.push_back(&item);
        }
    }
    std::vector<const member*> receivers;
    std::ranges::sample(others, std::back_inserter(receivers), static_cast<std::ptrdiff_t>(count), m_random);
    const auto bytes = encode(kind, body);
    for (const member* to : receivers) {
        if (const auto address = endpoint_of(to->address.ip, to->address.datagram_port)) {
            send_to(*address, bytes);
        }
    }
}

void fleet_membership::broadcast(datagram_kind kind, const nlohmann::json& body)
{
    send_to_live(kind, body, {});
}

void fleet_membership::send_to_own_domain(datagram_kind kind, const nlohmann::json& body)
{
    send_to_live(kind, body, m_settings.failure_domain);
}

// An empty failure domain means all.
void fleet_membership::send_to_live(datagram_kind kind, const nlohmann::json& body, std::string_view failure_domain)
{
    const timestamp now = steady_now();
    const auto bytes = encode(kind, body);
    for (const member& to : m_table->members(member_role::entry)) {
        if (m_table->liveness(to.id, now) == member_liveness::presumed_down ||
            (!failure_domain.empty() && to.failure_domain != failure_domain)) {
            continue;
        }
        const auto address = endpoint_of(to.address.ip, to.address.datagram_port);
        if (address && to.id != m_settings.id) {
            send_to(*address, bytes);
        }
    }
}

std::vector<std::byte> fleet_membership::encode(datagram_kind kind, const nlohmann::json& body) const
{
    return encode_datagram({kind, m_settings.id, encode_cbor(body)}, m_key);
}

void fleet_membership::send_to(const udp::endpoint& to, std::span<const std::byte> datagram)
{
    error_code ec;
    // A datagram that does not fit into the send buffer is lost like any other; senders repeat what must arrive.
    m_socket.send_to(asio::buffer(datagram.data(), datagram.size()), to, MSG_DONTWAIT, ec);
}

} // namespace lagoonferry
