#pragma once

#include "gateway/fleet_membership.h"
#include "ledger/budget_ledger.h"
#include "store/store_client.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace lagoonferry {

/// Carries the decisions of the budget ledger between gateways and the store. One gateway owns the record of a program,
/// the next by rendezvous hashing keeps a copy. Runs on one event loop; not thread-safe.
class budget_coordinator {
public:
    /// The references must outlive it.
    budget_coordinator(asio::any_io_executor loop, fleet_membership& fleet, store_client& store);

    /// Registers with the fleet and starts the upkeep of records.
    void start();

    /// Asks for the tokens of a turn, at this gateway or its owner's.
    asio::awaitable<budget_reply> reserve(budget_request request);

    /// Tells the end of a turn that was granted.
    void settle(const budget_settlement& message);

    /// Hands all records that this gateway owns to their next owners.
    void hand_over();

    /// The records and copies that this gateway holds.
    const budget_ledger& ledger() const { return m_ledger; }

private:
    struct pending_query {
        explicit pending_query(const asio::any_io_executor& loop) : wake(loop) {}
        asio::steady_timer wake;
        std::optional<budget_reply> answer;
    };
    struct pending_copy {
        explicit pending_copy(const asio::any_io_executor& loop) : wake(loop) {}
        asio::steady_timer wake;
        std::optional<budget_record_copy> answer;
    };

    asio::awaitable<budget_reply> decide(budget_request request);
    asio::awaitable<budget_reply> decide_alone(const budget_request& request);
    asio::awaitable<std::optional<budget_reply>> ask(const std::string& owner, const budget_request& request);
    asio::awaitable<void> find_record(const budget_request& request);
    asio::awaitable<bool> write_mark(const budget_request& request);
    asio::awaitable<void> answer_ask(std::string sender, budget_request request);
    asio::awaitable<void> keep_up();
    void on_ask(const std::string& sender, const nlohmann::json& body);
    void on_reply(const nlohmann::json& body);
    void on_end(const nlohmann::json& body);
    void on_copy_ask(const std::string& sender, const nlohmann::json& body);
    void on_copy(const nlohmann::json& body);
    void apply_settlement(const budget_settlement& message);
    void send_copy(const std::string& program);
    void hand_over_to_owners();
    bool would_know(std::string_view program) const;
    void log_decision(const budget_request& request, std::string_view verdict) const;
    bool silent(const std::string& id) const;

    asio::any_io_executor m_loop;
    fleet_membership& m_fleet;
    store_client& m_store;
    budget_ledger m_ledger;
    std::map<std::string, std::shared_ptr<pending_query>, std::less<>> m_asks;  ///< by request id
    std::map<std::string, std::shared_ptr<pending_copy>, std::less<>> m_copies; ///< by program
    std::set<std::string, std::less<>> m_deciding;                              ///< programs with a decision under way
    std::set<std::string, std::less<>> m_answering;                             ///< requests of others in decision
    std::map<std::string, timestamp, std::less<>> m_silent_until;               ///< owners that did not answer
    std::set<std::string, std::less<>> m_owned;                                 ///< programs decided here
    std::set<std::string, std::less<>> m_handed_over; ///< programs whose former owner decides on them no more
};

} // namespace lagoonferry
