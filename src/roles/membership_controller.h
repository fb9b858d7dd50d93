#pragma once

#include "dispatch/target_info.h"
#include "membership/address_lookup.h"
#include "membership/member_table.h"
#include "roles/messages.h"

#include <caf/actor.hpp>
#include <caf/behavior.hpp>
#include <caf/stateful_actor.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

struct board;
class datagram_sender;

struct membership_options {
    member self;
    member_timing timing;
    std::chrono::milliseconds heartbeat_interval{500};
    std::chrono::milliseconds address_ttl{10'000};
    std::vector<network_address> seeds;
    std::uint64_t seed = 0;
};

/// Actors that receive the contents of heartbeats. `ownership` is empty in a dispatch process.
struct membership_receivers {
    caf::actor ownership;
    caf::actor documents;
};

/// Sends and receives heartbeats and maintains the member, address and target entries of the blackboard.
class membership_controller_state {
public:
    void start(caf::event_based_actor* self, const membership_options& options, membership_receivers receivers,
               board* shared, datagram_sender* sender);
    void on_tick();
    void on_heartbeat(const heartbeat_datagram& received);

    /// Updates the last-seen time of a process that sent an authenticated message other than a heartbeat.
    void on_member_seen(const member_seen& message);
    void on_instances(const listed_instances& message);

    /// Marks a member or target as leaving. Returns false for an unknown id.
    bool on_drain(const drain_request& request);

private:
    void stop_if_superseded();
    void send_heartbeats(timestamp now);
    void publish(timestamp now);
    void publish_targets();
    void add_document_targets(timestamp now);
    target_state state_of(const std::string& target) const;

    caf::event_based_actor* m_self = nullptr;
    membership_receivers m_receivers;
    membership_options m_options;
    board* m_board = nullptr;
    datagram_sender* m_sender = nullptr;
    std::unique_ptr<member_table> m_table;
    std::unique_ptr<address_lookup> m_addresses;
};

/// Returns the behaviour of the membership controller. `shared` and `sender` must outlive the actor.
caf::behavior membership_controller(caf::stateful_actor<membership_controller_state>* self,
                                    const membership_options& options, const membership_receivers& receivers,
                                    board* shared, datagram_sender* sender);

} // namespace lagoonferry
