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

/// Coordinates token budgets between gateways and the store; the decisions are those of `budget_ledger`. One gateway
/// owns the record of a program, the next one by rendezvous hashing holds its backup. Runs on one event loop; not
/// thread-safe.
class budget_coordinator {
public:
    /// `fleet` and `store` must outlive this object.
    budget_coordinator(asio::any_io_executor loop, fleet_membership& fleet, store_client& store);

    /// Registers the handlers of budget datagrams and starts the periodic upkeep of records.
    void start();

    /// Requests the tokens of a turn from the owner of the program's record, which may be this gateway.
    asio::awaitable<budget_reply> reserve(budget_request request);

    /// Reports the end of a granted turn to the gateway that granted it and to the owner. The series need not be set.
    void settle(budget_settlement message);

    /// Starts to send all records of this gateway to their next replicas. Called when the process stops, after it has
    /// left the fleet.
    void hand_over();

    /// The records that this gateway owns or backs up.
    const budget_ledger& ledger() const { return m_ledger; }

private:
    struct grant {
        std::string gateway; ///< that granted the turn
        std::string program;
        std::uint64_t series = 0;
    };
    struct received_reply {
        std::string sender;
        budget_reply reply;
    };
    struct pending_query {
        explicit pending_query(const asio::any_io_executor& loop) : wake(loop) {}
        asio::steady_timer wake;
        std::optional<received_reply> reply;
    };
    struct pending_copies {
        explicit pending_copies(const asio::any_io_executor& loop) : wake(loop) {}
        asio::steady_timer wake;
        std::set<std::string, std::less<>> awaited; ///< gateways that have not replied
        bool found = false;                         ///< one of them had a record, and the one here is complete
        bool certain = false;                       ///< one of them would have a record if any tokens were used
    };

    /// The process that is known to have a copy of a record.
    struct backup_receiver {
        std::string id;
        std::uint64_t start = 0;
        bool operator==(const backup_receiver&) const = default;
    };

    asio::awaitable<budget_reply> decide_in_turn(budget_request request);
    asio::awaitable<budget_reply> decide(const budget_request& request);
    asio::awaitable<std::optional<received_reply>> request_from_owner(const std::string& owner,
                                                                      const budget_request& request);
    asio::awaitable<void> find_record(const budget_request& request);
    asio::awaitable<bool> request_copies(const budget_request& request);
    asio::awaitable<bool> write_high_water_mark(const budget_request& request);
    asio::awaitable<void> reply_to_request(std::string sender, budget_request request);
    asio::awaitable<void> run_upkeep();
    void on_budget_request(const std::string& sender, const nlohmann::json& body);
    void on_budget_reply(const std::string& sender, const nlohmann::json& body);
    void send_settlement(const std::string& receiver, const budget_settlement& message);
    void on_settlement(const nlohmann::json& body);
    void on_record_request(const std::string& sender, const nlohmann::json& body);
    void on_record_copy(const std::string& sender, const nlohmann::json& body);
    void apply_settlement(const budget_settlement& message);
    void send_backup(const std::string& program);
    void hand_over_to_owners();
    asio::awaitable<void> renew_backups();
    bool is_complete(const std::string& program) const;
    std::optional<backup_receiver> next_backup_receiver(const std::string& program) const;
    void release_stale_records();
    asio::awaitable<void> hand_over_records();
    bool would_have_record(std::string_view program) const;
    void log_decision(const budget_request& request, std::string_view verdict) const;
    bool is_unresponsive(const std::string& id) const;

    asio::any_io_executor m_loop;
    fleet_membership& m_fleet;
    store_client& m_store;
    budget_ledger m_ledger;
    std::map<std::string, std::shared_ptr<pending_query>, std::less<>> m_pending_queries; ///< by request id
    std::map<std::string, std::shared_ptr<pending_copies>, std::less<>> m_pending_copies; ///< by program
    std::set<std::string, std::less<>> m_deciding;                                        ///< programs being decided on
    std::set<std::string, std::less<>> m_replying;                      ///< requests of others being decided on
    std::map<std::string, timestamp, std::less<>> m_unresponsive_until; ///< owners that did not reply
    std::map<std::string, grant, std::less<>> m_grants;                 ///< open turns of this gateway, by request id
    std::uint64_t m_rejoins_seen = 0;
    std::set<std::string, std::less<>> m_owned; ///< programs that this gateway decides on
    /// Programs of which this gateway has a copy that is kept up to date, and when the last complete one arrived.
    std::map<std::string, timestamp, std::less<>> m_complete_copies;
    std::map<std::string, backup_receiver, std::less<>> m_backup_receivers; ///< of the last copies, by program
    timestamp m_backups_renewed_at{};
    timestamp m_compare_until{}; ///< end of the time after a pause in which complete copies are requested
};

} // namespace lagoonferry
