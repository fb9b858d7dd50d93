#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace lagoonferry {

/// Content of one turn. Messages and answer are serialized JSON in the canonical form of `canonical_message`.
struct turn_text {
    std::string program;
    std::uint64_t number = 0;
    std::string previous; ///< digest of turn `number - 1`, empty for the first turn
    std::vector<std::string> messages;
    std::string answer;
    std::string digest;
};

/// Result of a call that is too long for its outcome entry.
struct result_text {
    std::string program;
    std::string call;
    std::string text;
    std::string digest;
};

using stored_text = std::variant<turn_text, result_text>;

/// Texts are immutable and shared between the log, the segments and the programs of one process.
using text_ref = std::shared_ptr<const stored_text>;

/// Returns BLAKE2b(program, number, previous, messages, answer) as hex. Every part is prefixed with its length, so that
/// two different turns never give the same hash input. Thread-safe.
std::string chain_digest(const turn_text& turn);

/// Returns whether the digest that a text carries is the digest of its content. Thread-safe.
bool has_valid_digest(const stored_text& text);

/// Returns the program that a text belongs to. Thread-safe.
const std::string& program_of(const stored_text& text);

/// Returns the size in bytes of the messages and the answer, or of the result. Thread-safe.
std::size_t text_bytes(const stored_text& text);

/// Metadata of a segment's text, with which a takeover can verify a hash chain whose texts do not fit into memory.
struct text_summary {
    std::string program;
    std::uint64_t number = 0; ///< 0 for the result of a call
    std::string previous;     ///< digest, as in `turn_text`
    std::string digest;
    std::size_t bytes = 0;
    bool digest_valid = false; ///< as returned by `has_valid_digest`
    text_ref text;             ///< null if the text was not kept
};

/// Precondition: `text` is not null. Thread-safe.
text_summary summarize(text_ref text);

nlohmann::json text_to_json(const stored_text& text);

/// Throws nlohmann::json::exception for anything that `text_to_json` does not produce. Does not verify the digest.
stored_text text_from_json(const nlohmann::json& in);

} // namespace lagoonferry
