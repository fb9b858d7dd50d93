#pragma once

#include "ledger/budget_record.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace lagoonferry {

/// Asks the owner of a program's record for the tokens of one turn.
struct budget_request {
    std::string request; ///< id of the turn's request; repeated messages have the same one
    std::string program;
    std::string session;
    std::uint64_t budget = 0;
    std::uint64_t tokens = 0;        ///< the most that the turn generates
    bool owner_unresponsive = false; ///< the owner did not answer, so the receiver decides in its place
};

enum class budget_verdict {
    granted,
    exhausted, ///< the budget does not hold this turn
    undecided, ///< the store is needed and cannot be reached
};

struct budget_reply {
    std::string request;
    budget_verdict verdict = budget_verdict::undecided;
    session_location location; ///< of the session, or of the line that started it
};

/// Tells the owner the end of a turn.
struct budget_settlement {
    std::string request;
    std::string program;
    std::string session;
    std::uint64_t tokens = 0;  ///< that the caller got
    session_location location; ///< where it ran
};

/// Asks the holder of the copy whether it knows a program.
struct budget_record_request {
    std::string program;
};

/// A record, or the word that there is none. Sent after each change, on request, and when the owner changes.
struct budget_record_copy {
    std::string program;
    std::optional<budget_record> record;
    bool sender_authoritative = false; ///< the sender would have a record if the program had spent anything
    bool transfers_ownership = false;  ///< the receiver owns the record from now on
};

nlohmann::json to_json(const budget_request& message);
nlohmann::json to_json(const budget_reply& message);
nlohmann::json to_json(const budget_settlement& message);
nlohmann::json to_json(const budget_record_request& message);
nlohmann::json to_json(const budget_record_copy& message);

/// Read a message; nothing when a field is missing or has a wrong type. Thread-safe.
std::optional<budget_request> budget_request_from(const nlohmann::json& message);
std::optional<budget_reply> budget_reply_from(const nlohmann::json& message);
std::optional<budget_settlement> budget_settlement_from(const nlohmann::json& message);
std::optional<budget_record_request> budget_record_request_from(const nlohmann::json& message);
std::optional<budget_record_copy> budget_record_copy_from(const nlohmann::json& message);

} // namespace lagoonferry
