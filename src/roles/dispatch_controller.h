#pragma once

#include "dispatch/slot_dispatcher.h"
#include "roles/messages.h"
#include "roles/target_orders.h"

#include <caf/actor.hpp>
#include <caf/behavior.hpp>
#include <caf/stateful_actor.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

struct board;
class datagram_sender;
struct document_in_force;
struct known_target;
struct target_group;
struct target_map;

/// Identity of a dispatch process and the limits on the model loads that it orders.
struct dispatch_options {
    std::string id;
    std::uint64_t incarnation = 0;
    std::optional<order_settings> orders; ///< not set: targets keep the models of their documents
    caf::actor order_sender;              ///< receives `send_order`
};

/// Grants slots in the target groups that this process serves, and orders their targets to load and unload models as
/// the demand changes.
///
/// A target moves only between models whose groups this process serves, so normally one process decides for a target.
/// While a dispatcher starts or is cut off from the network, two processes may decide for the same target. The fencing
/// token is the time of the decision: a target that checks tokens refuses the older order, and a target that does not
/// check them follows the order that arrives last. Both processes then use the model that the target reports. A call
/// that reaches a target without its model is refused there and resumes on another target. Each target on which the
/// two processes disagree costs one additional model load.
class dispatch_controller_state {
public:
    void start(caf::event_based_actor* self, const dispatch_options& options, board* shared, datagram_sender* sender);
    void on_datagram(const slot_datagram& message);
    void on_target_reports(const target_reports& message);
    void on_tick();
    void on_order_result(const order_result& message);

private:
    using outgoing = std::vector<outgoing_slot_message>;

    void apply_documents();
    void update_target(const known_target& target, const std::string& document_group, timestamp now);
    void plan_orders(timestamp now);
    std::vector<model_demand> demand_of(const std::string& service, const target_map& targets);

    /// Returns whether this process decides which models the targets of a group hold.
    bool may_order(const target_map& targets, const target_group& group) const;
    std::uint32_t in_flight(std::string_view target) const;
    void send_orders(const std::string& service, const std::vector<target_order>& orders);

    slot_dispatcher& dispatcher_of(const std::string& group, timestamp now);
    void update_targets(timestamp now);
    void send(const std::string& group, const outgoing& messages);
    void publish();

    caf::event_based_actor* m_self = nullptr;
    dispatch_options m_options;
    board* m_board = nullptr;
    datagram_sender* m_sender = nullptr;
    std::map<std::string, slot_dispatcher> m_groups;
    std::map<std::string, target_orders, std::less<>> m_orders; ///< by service
    std::map<std::string, std::uint64_t> m_previous_grants;     ///< by group
    timestamp m_next_plan{0};
    std::map<std::string, std::shared_ptr<const document_in_force>, std::less<>> m_applied_documents; ///< by service
};

/// Returns the behaviour of the dispatch controller. `shared` and `sender` must outlive the actor.
caf::behavior dispatch_controller(caf::stateful_actor<dispatch_controller_state>* self, const dispatch_options& options,
                                  board* shared, datagram_sender* sender);

} // namespace lagoonferry
