#pragma once

#include "journal/entry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonferry {

/// State of one call with an idempotency key, as recorded in the log.
struct call_record {
    std::string call;
    std::string tool;
    std::string key;
    std::string arguments_digest;
    std::uint64_t turn = 0;
    bool finished = false; ///< false: there is an intent without an outcome
    bool known = false;    ///< whether the outcome is known; valid once `finished`
    bool expired = false;  ///< the result was dropped after its retention time; the key stays in use
    std::string result;
    std::string result_digest;
};

/// State of one program, as recorded in the log.
struct program_record {
    open_entry opened;
    std::uint64_t turns = 0;
    std::string digest; ///< of the last turn
    std::uint64_t context_tokens = 0;
    budget high_water_mark; ///< upper bound on the spending without children; after the end, the spending with children
    budget children;        ///< limits of open children plus spending of ended ones
    bool ended = false;
    std::string reason;
    std::map<std::string, call_record, std::less<>> calls; ///< by idempotency key
};

/// State of a partition's programs after a prefix of its log; the content of snapshots. Entries of unknown programs are
/// skipped, because ended programs are removed from the image after some time. One thread at a time.
class partition_image {
public:
    /// Applies the next entry of the log.
    void apply(const entry& value);

    /// Removes an ended program.
    void remove_program(std::string_view program);

    /// Drops the result of a finished call; its key stays in use.
    void expire_result(std::string_view program, std::string_view key);

    const std::map<std::string, program_record, std::less<>>& programs() const { return m_programs; }

    /// Returns nullptr for an unknown program.
    const program_record* find(std::string_view program) const;

    /// Conservative estimate of the encoded size in bytes.
    std::size_t bytes() const { return m_bytes; }

    /// Serializes the image as the value of a snapshot.
    std::string encode() const;

    /// Parses an image. Returns nothing for input that `encode` does not produce.
    static std::optional<partition_image> decode(std::string_view text);

private:
    program_record* find_mutable(std::string_view program);
    void apply_entry(const open_entry& it);
    void apply_entry(const turn_entry& it);
    void apply_entry(const intent_entry& it);
    void apply_entry(const outcome_entry& it);
    void apply_entry(const abandon_entry& it);
    void apply_entry(const high_water_mark_entry& it);
    void apply_entry(const end_entry& it);
    call_record& get_or_add_call(program_record& program, const std::string& key);
    void recompute_bytes();

    std::map<std::string, program_record, std::less<>> m_programs;
    std::size_t m_bytes = 0;
};

} // namespace lagoonferry
