#pragma once

#include "gateway/fleet_membership.h"
#include "limits/request_limiter.h"
#include "routing/route_table.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace lagoonferry {

/// Connects the limiter of client accounts with the fleet, the routing document in force and the event loop. The
/// decisions are those of `request_limiter`. Runs on one event loop; not thread-safe.
class limit_coordinator : private limiter_environment {
public:
    /// The arguments must outlive this object. `routes` is the document in force, or nullptr.
    limit_coordinator(asio::any_io_executor loop, fleet_membership& fleet,
                      const std::shared_ptr<const route_table>& routes);

    /// Registers the handlers of the datagrams and starts the timer.
    void start();

    /// Requests one request of an account; see `request_limiter::acquire`. Precondition: its limit is not unlimited.
    asio::awaitable<limit_result> acquire(std::string account, limit_demand demand);

    /// Returns a granted request that no target has run.
    void give_back(const std::string& account, const std::string& granter);

    /// Counts a second run of a granted request.
    void charge(const std::string& account, const std::string& granter);

    /// Starts to send the records of this gateway to their next owners. Called when the process stops, after it has
    /// left the fleet.
    void hand_over();

private:
    const std::string& own_id() const override;
    std::vector<std::string> ranked(std::string_view key) const override;
    double reachable_share() const override;
    std::size_t gateway_count() const override;
    bool would_have_record(std::string_view key) const override;
    timestamp settled_since() const override;
    std::uint64_t rejoins() const override;
    std::optional<request_limit> limit_of(std::string_view account) const override;
    void send(const std::string& to, const limit_message& message) override;

    template <class Message>
    void handle(datagram_kind kind, std::optional<Message> (*parse)(const nlohmann::json&));
    asio::awaitable<void> run_timer();
    void wake_timer();

    asio::any_io_executor m_loop;
    fleet_membership& m_fleet;
    const std::shared_ptr<const route_table>& m_routes;
    request_limiter m_limiter;
    asio::steady_timer m_timer;
    timestamp m_wakes_at{};
};

} // namespace lagoonferry
