#pragma once

#include "ledger/budget_record.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace lagoonferry {

/// Requests the tokens of one turn from the owner of a program's record.
struct budget_request {
    std::string request; ///< id of the turn's request; the same in each retransmission
    std::string program;
    std::string session;
    std::uint64_t budget = 0;
    std::uint64_t tokens = 0;        ///< upper bound of the tokens that the turn generates
    bool owner_unresponsive = false; ///< the owner did not reply, so the receiver decides on its behalf
};

enum class budget_verdict {
    granted,
    exhausted, ///< the turn would exceed the budget
    undecided, ///< the decision needs the store, which is unreachable
};

struct budget_reply {
    std::string request;
    budget_verdict verdict = budget_verdict::undecided;
    session_location location; ///< of the session or, if unknown, of the program's first session
    bool first_turn = false;   ///< the program has used no tokens before this turn
    std::uint64_t series = 0;  ///< series of the granted turn; see `budget_record`
};

/// Reports the end of a turn to the owner.
struct budget_settlement {
    std::string request;
    std::string program;
    std::string session;
    std::uint64_t tokens = 0;  ///< tokens that the caller received
    session_location location; ///< target that ran the turn
    std::uint64_t series = 0;  ///< series of the turn; see `budget_record`
};

/// Requests the record of a program from the gateway that has the copy.
struct budget_record_request {
    std::string program;
};

enum class copy_purpose {
    backup,   ///< the record has changed
    reply,    ///< the copy was requested
    transfer, ///< the receiver owns the record from now on
};

/// A copy of a program's record, or the statement that there is none.
struct budget_record_copy {
    std::string program;
    std::optional<budget_record> record;
    bool sender_authoritative = false; ///< the sender would have a record if the program had used any tokens
    copy_purpose purpose = copy_purpose::backup;
    bool complete = false; ///< the record has all turns granted so far, as far as the sender can know
};

nlohmann::json to_json(const budget_request& message);
nlohmann::json to_json(const budget_reply& message);
nlohmann::json to_json(const budget_settlement& message);
nlohmann::json to_json(const budget_record_request& message);
nlohmann::json to_json(const budget_record_copy& message);

/// Parse a message. Return nothing when a field is missing or has a wrong type. Thread-safe.
std::optional<budget_request> budget_request_from(const nlohmann::json& message);
std::optional<budget_reply> budget_reply_from(const nlohmann::json& message);
std::optional<budget_settlement> budget_settlement_from(const nlohmann::json& message);
std::optional<budget_record_request> budget_record_request_from(const nlohmann::json& message);
std::optional<budget_record_copy> budget_record_copy_from(const nlohmann::json& message);

} // namespace lagoonferry
