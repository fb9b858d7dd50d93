#pragma once

#include "limits/limiter_environment.h"
#include "limits/prepaid_requests.h"
#include "limits/request_ledger.h"
#include "util/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lagoonferry {

/// The answer to a request of an account.
struct limit_result {
    bool granted = false;
    timestamp delay{};   ///< if granted: time until the request may run; otherwise time until one may be granted
    std::string granter; ///< gateway that has decided
};

/// Enforces the request limits of client accounts over all gateways. One gateway, the first by rendezvous hashing, owns
/// the limit of an account and grants its requests; the next one holds a copy of the record and decides when the owner
/// is silent. Records of gateways that have both granted requests are joined. Values and times in, messages out, no
/// other I/O. Not thread-safe.
class request_limiter {
public:
    /// Gateways that have the record of an account: its owner and the next one.
    static constexpr std::size_t replica_count = 2;

    using result_handler = std::function<void(const limit_result& result)>;

    /// `environment` must outlive this object. `first_id` is the id of the first demand; those of a process that was
    /// restarted must differ from those before.
    request_limiter(limiter_environment& environment, std::uint64_t first_id);

    /// Requests one request of an account; `wanted` of `demand` is ignored. Calls `done` once, possibly before it
    /// returns. Precondition: the limit of the account is not unlimited.
    void acquire(const std::string& account, const limit_demand& demand, timestamp now, result_handler done);

    /// Returns a granted request that no target has run to the gateway that granted it.
    void give_back(const std::string& account, const std::string& granter, timestamp now);

    /// Counts a request that ran without a grant, because a second target ran it.
    void charge(const std::string& account, const std::string& granter, timestamp now);

    /// Handles a message of another gateway.
    void receive(const std::string& sender, const limit_message& message, timestamp now);

    /// Sends what is due: retransmissions, copies, unused grants. Call at `next_due`.
    void run_due(timestamp now);

    /// Returns when `run_due` has to be called next.
    timestamp next_due() const;

    /// Sends the records that this gateway owns to their next owners. Called when the process stops, after it has left
    /// the fleet.
    void hand_over(timestamp now);

    /// The records that this gateway owns or has copies of.
    const request_ledger& ledger() const { return m_ledger; }

private:
    struct pending_demand {
        limit_request message;
        result_handler done;
        std::vector<std::string> candidates; ///< gateways that are asked in this order
        std::size_t sends = 0;               ///< to the first candidate
        bool redirected = false;
        timestamp due{};
    };
    struct record_search {
        std::set<std::string, std::less<>> awaited;
        std::size_t sends = 0;
        bool found = false;
        bool after_rejoin = false; ///< demands of others may have waited while this process was paused
        timestamp due{};
        std::vector<std::pair<std::string, limit_request>> waiting; ///< senders and their demands
    };
    /// The state of a record that this gateway has granted requests from.
    struct record_state {
        bool changed = false;                                ///< since the last copy was sent
        timestamp copy_due{};                                ///< when the next copy may be sent
        timestamp unacked{};                                 ///< first copy that was not acknowledged; 0: none
        std::map<std::string, timestamp, std::less<>> heard; ///< when a copy of each other gateway last arrived
        std::string copied_to;
        timestamp used_at{};

        /// Returns when a copy last arrived; 0: never.
        timestamp last_heard() const;
        bool heard_within(timestamp span, std::string_view id, timestamp now) const;
    };
    struct finished_demand {
        std::string account;
        std::string granter;
        timestamp expires{};
    };
    struct cached_reply {
        limit_reply reply;
        timestamp expires{};
    };

    void send_demand(pending_demand& demand, timestamp now);
    void ask_next(std::uint64_t id, timestamp now);
    void finish(std::uint64_t id, const limit_reply& reply, const std::string& granter, timestamp now);
    void decide_locally(std::uint64_t id, timestamp now);
    void return_late_grant(const std::string& sender, const limit_reply& message, timestamp now);
    void on_message(const std::string& sender, const limit_request& message, timestamp now);
    void on_message(const std::string& sender, const limit_reply& message, timestamp now);
    void on_message(const std::string& sender, const limit_adjustment& message, timestamp now);
    void on_message(const std::string& sender, const limit_copy& message, timestamp now);
    void answer(const std::string& sender, const limit_request& message, timestamp now);
    void decide(const std::string& sender, const limit_request& message, timestamp now);
    void reply(const std::string& receiver, const limit_reply& message, timestamp now);
    void search(const std::string& account, timestamp now);
    void send_search(const std::string& account, record_search& state, timestamp now);
    void end_search(const std::string& account, timestamp now);
    void complete_record(const std::string& account, timestamp now);
    void adjust(const limit_adjustment& message, const std::string& granter, timestamp now);
    void send_copy(const std::string& account, const std::string& to, limit_copy_purpose purpose, timestamp now);
    void mark_changed(const std::string& account, timestamp now);
    void back_up(const std::string& account, record_state& state, timestamp now);
    void check_ownership(timestamp now);
    void forget_after_rejoin();
    void tidy(timestamp now);
    bool is_silent(const std::string& id, timestamp now) const;
    std::string owner_of(const std::string& account, timestamp now) const;
    limit_share share_of(const std::string& account, bool owner_silent, timestamp now) const;

    limiter_environment& m_environment;
    request_ledger m_ledger;
    request_ledger m_local; ///< grants of this gateway while it reaches no owner
    prepaid_requests m_prepaid;
    std::uint64_t m_next_id;
    std::map<std::uint64_t, pending_demand> m_pending;
    std::map<std::uint64_t, finished_demand> m_finished;                     ///< lately
    std::map<std::string, record_search, std::less<>> m_searches;            ///< by account
    std::map<std::string, record_state, std::less<>> m_states;               ///< by account
    std::map<std::pair<std::string, std::uint64_t>, cached_reply> m_replies; ///< by sender and demand
    std::map<std::string, timestamp, std::less<>> m_silent_until;            ///< gateways that did not reply
    std::set<std::string, std::less<>> m_owned_before_rejoin;
    std::set<std::string, std::less<>> m_owned; ///< accounts whose record is complete here
    std::map<std::string, std::pair<std::string, timestamp>, std::less<>>
        m_yielded; ///< by account: owner that is not in the ranking here yet, and until when this is assumed
    std::uint64_t m_rejoins_seen = 0;
    timestamp m_tidy_due{};
};

} // namespace lagoonferry
