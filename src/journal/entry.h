#pragma once

#include "journal/budget.h"
#include "util/service_class.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace lagoonferry {

/// Opens a program. The limits of a child program are reserved from its parent's budget.
struct open_entry {
    std::string program;
    std::string account;
    std::string service;
    std::string parent; ///< empty for a program without parent
    budget limits;
    /// The high-water mark advances in steps of limits / `high_water_mark_chunks`.
    std::uint32_t high_water_mark_chunks = 4;
    service_class priority = service_class::normal;
    std::int64_t opened_ms = 0; ///< wall-clock time since the Unix epoch; 0 if unknown

    bool operator==(const open_entry&) const = default;
};

/// Records a completed turn. Its messages and answer are a `turn_text` with the same digest.
struct turn_entry {
    std::string program;
    std::uint64_t number = 0;
    std::string digest;
    std::uint64_t context_tokens = 0; ///< tokens of the history, including this turn's answer

    bool operator==(const turn_entry&) const = default;
};

/// Intent to send an irreversible call. The call is sent only after the key-value service has confirmed this entry.
struct intent_entry {
    std::string call;
    std::string program;
    std::uint64_t turn = 0;
    std::string tool;
    std::string key;
    std::string arguments_digest;

    bool operator==(const intent_entry&) const = default;
};

/// Outcome of a call that was sent. An idempotent call has no intent; this is its only entry.
struct outcome_entry {
    std::string call;
    std::string program;
    std::string tool;
    std::string key;
    std::string arguments_digest;
    bool known = false;        ///< false: the outcome is unknown
    std::string result;        ///< the inline result, if it is short enough
    std::string result_digest; ///< set when the result is stored as a `result_text` instead

    bool operator==(const outcome_entry&) const = default;
};

/// Withdraws a recorded intent: the call will never be sent.
struct abandon_entry {
    std::string call;
    std::string program;
    std::string key;

    bool operator==(const abandon_entry&) const = default;
};

/// Advances the budget high-water mark: an upper bound on what a program, without its children, has spent.
struct high_water_mark_entry {
    std::string program;
    budget high_water_mark;

    bool operator==(const high_water_mark_entry&) const = default;
};

/// Ends a program. `spent` includes its children.
struct end_entry {
    std::string program;
    std::string reason;
    budget spent;

    bool operator==(const end_entry&) const = default;
};

/// One entry of a partition's log.
using entry =
    std::variant<open_entry, turn_entry, intent_entry, outcome_entry, abandon_entry, high_water_mark_entry, end_entry>;

/// Returns the program that an entry belongs to. Thread-safe.
const std::string& program_of(const entry& value);

/// Returns an estimate of an entry's serialized size in bytes, without serializing it. Thread-safe.
std::size_t entry_bytes(const entry& value);

/// Serializes an entry as a JSON object with short member names. Thread-safe.
nlohmann::json entry_to_json(const entry& value);

/// Parses an entry. Throws nlohmann::json::exception for input that `entry_to_json` does not produce. Thread-safe.
entry entry_from_json(const nlohmann::json& in);

} // namespace lagoonferry
