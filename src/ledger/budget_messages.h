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
    std::uint64_t tokens = 0;  ///< the most that the turn generates
    bool owner_silent = false; ///< the owner did not answer, so the receiver decides in its place
};

enum class budget_verdict {
    granted,
    spent,     ///< the budget does not hold this turn
    undecided, ///< the store is needed and cannot be reached
};

struct budget_answer {
    std::string request;
    budget_verdict verdict = budget_verdict::undecided;
    session_place place; ///< of the session, or of the line that started it
};

/// Tells the owner the end of a turn.
struct budget_settlement {
    std::string request;
    std::string program;
    std::string session;
    std::uint64_t tokens = 0; ///< that the caller got
    session_place place;      ///< where it ran
};

/// Asks the holder of the copy whether it knows a program.
struct copy_request {
    std::string program;
};

/// A record, or the word that there is none. Sent after each change, on request, and when the owner changes.
struct program_copy {
    std::string program;
    std::optional<budget_record> record;
    bool sender_certain = false; ///< the sender would have a record if the program had spent anything
    bool hands_over = false;     ///< the receiver owns the record from now on
};

nlohmann::json to_json(const budget_request& message);
nlohmann::json to_json(const budget_answer& message);
nlohmann::json to_json(const budget_settlement& message);
nlohmann::json to_json(const copy_request& message);
nlohmann::json to_json(const program_copy& message);

/// Read a message; nothing when a field is missing or has a wrong type. Thread-safe.
std::optional<budget_request> budget_request_from(const nlohmann::json& message);
std::optional<budget_answer> budget_answer_from(const nlohmann::json& message);
std::optional<budget_settlement> budget_settlement_from(const nlohmann::json& message);
std::optional<copy_request> copy_request_from(const nlohmann::json& message);
std::optional<program_copy> program_copy_from(const nlohmann::json& message);

} // namespace lagoonferry
