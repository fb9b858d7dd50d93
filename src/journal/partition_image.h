#pragma once

#include "journal/entry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonferry {

/// What the log says about one call with an idempotency key.
struct call_record {
    std::string call;
    std::string tool;
    std::string key;
    std::string arguments_digest;
    std::uint64_t turn = 0;
    bool finished = false; ///< false: intent without outcome
    bool known = false;    ///< meaningful once `finished`
    bool expired = false;  ///< the result was dropped after its retention time; the key stays used
    std::string result;
    std::string result_digest;
};

/// What the log says about one program.
struct program_record {
    open_entry opened;
    std::uint64_t turns = 0;
    std::string digest; ///< of the last turn
    std::uint64_t context_tokens = 0;
    budget high_water_mark; ///< spent at most, without children; once ended, with children
    budget children;        ///< shares of open children and spending of ended ones
    bool ended = false;
    std::string reason;
    std::map<std::string, call_record, std::less<>> calls; ///< by idempotency key
};

/// The state that a prefix of a partition's log stands for; the content of snapshots. Entries of programs that are not
/// in the image are skipped, because programs leave the image some time after their end. One thread at a time.
class partition_image {
public:
    /// Applies the next entry of the log.
    void apply(const entry& value);

    /// Removes an ended program.
    void remove_program(std::string_view program);

    /// Drops the result of a finished call; its key stays used.
    void expire_result(std::string_view program, std::string_view key);

    const std::map<std::string, program_record, std::less<>>& programs() const { return m_programs; }

    /// Returns nullptr for an unknown program.
    const program_record* find(std::string_view program) const;

    /// Upper estimate of the snapshot's size in bytes.
    std::size_t bytes() const { return m_bytes; }

    std::string encode() const;

    /// Returns nothing for text that `encode` does not produce.
    static std::optional<partition_image> decode(std::string_view text);

private:
    program_record* find_mutable(std::string_view program);
    void on(const open_entry& it);
    void on(const turn_entry& it);
    void on(const intent_entry& it);
    void on(const outcome_entry& it);
    void on(const abandon_entry& it);
    void on(const high_water_mark_entry& it);
    void on(const end_entry& it);
    call_record& call_of(program_record& program, const std::string& key);
    void count_bytes();

    std::map<std::string, program_record, std::less<>> m_programs;
    std::size_t m_bytes = 0;
};

} // namespace lagoonferry
