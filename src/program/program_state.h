#pragma once

#include "journal/entry.h"
#include "journal/stored_text.h"
#include "program/budget_account.h"
#include "util/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoonferry {

/// State of the call with an idempotency key.
enum class key_status {
    running, ///< in progress in this process
    known,   ///< the result is recorded
    unknown, ///< the call was or may have been sent; its outcome is unknown
    expired, ///< the result was dropped after its retention time
};

/// The call with an idempotency key and its result.
struct key_state {
    std::string call;
    std::string tool;
    std::string arguments_digest;
    key_status status = key_status::running;
    std::string result;
    text_ref result_text;       ///< set instead of `result` for a long result
    std::uint64_t sequence = 0; ///< of the entry with the outcome
    std::optional<timestamp> finished;
};

/// State of one program in the memory of its owner. It may be ahead of what is stored.
struct program_state {
    open_entry opened;
    std::uint64_t open_sequence = 0;
    std::vector<text_ref> turns; ///< null if the text is only in the key-value service
    std::string digest;          ///< of the last turn; covers the whole chain
    std::size_t text_bytes = 0;  ///< of texts in memory, as accounted in `history_memory`
    timestamp last_used{0};
    std::uint64_t last_turn_sequence = 0; ///< of the last turn's entry
    std::uint64_t recorded_turns = 0;     ///< exceeds `turns.size()` if the history is unavailable or was dropped
    std::uint64_t context_tokens = 0;     ///< of the whole history
    budget_account account;
    std::uint64_t high_water_mark_sequence = 0;
    std::string running_turn; ///< call id, empty if no turn is running
    std::map<std::string, key_state, std::less<>> keys;
    std::set<std::string> targets; ///< targets that may hold engine memory for the program
    std::string last_target;       ///< of the last turn in this process
    bool unavailable = false;      ///< the recorded history could not be recovered completely
    std::optional<end_entry> ended;
    std::uint64_t end_sequence = 0;
    timestamp ended_at{0};
};

} // namespace lagoonferry
