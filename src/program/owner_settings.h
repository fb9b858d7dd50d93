#pragma once

#include "journal/head_record.h"
#include "journal/journal_settings.h"
#include "util/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace lagoonferry {

class history_memory;

/// Removes single guards of the protocol so that tests can show that their checks notice. All off in production.
struct fault_injection {
    bool send_before_confirmed = false;     ///< irreversible calls do not wait for their intent
    bool reply_before_stored = false;       ///< callers are answered before a backup has acknowledged
    bool high_water_mark_after_use = false; ///< budget is used before its mark is stored
    bool ignore_call_epoch = false;         ///< results of other calls of the same program are accepted
    bool skip_fencing = false;              ///< a takeover does not ask the backups
    bool continue_without_replica = false;  ///< a takeover that lacks a copy serves what the others hold
    bool ignore_unfinished_intents = false; ///< a successor treats calls without outcome as never sent
    bool count_new_backups_only = false;    ///< a change of backups counts acknowledgements of the new list only
    bool skip_history_read = false;         ///< a turn does not wait for texts that are not in memory
    bool skip_history_check = false;        ///< texts that are read back are not verified
};

/// Limits and times of one partition's owner.
struct owner_settings {
    std::uint32_t partition = 0;
    instance_ref self;
    std::uint64_t incarnation = 0; ///< of this process: its start, see `process_start`
    std::string failure_domain;
    std::string writer; ///< unique for each object, for example 8 random bytes as hex; part of every write id
    journal_settings journal;

    std::size_t backups = 2;
    timestamp all_backups_timeout{std::chrono::milliseconds{50}}; ///< from then on one acknowledgement suffices
    timestamp store_timeout{std::chrono::seconds{2}};             ///< without acknowledgement: refused or `not_stored`
    timestamp confirm_timeout{std::chrono::seconds{2}};           ///< for the intent of an irreversible call
    timestamp resend_interval{std::chrono::milliseconds{200}};    ///< for batches and fetches without reply
    timestamp retention{std::chrono::minutes{10}};                ///< of ended programs and of results of calls
    /// The replaced owner becomes no backup for this time, in which this instance may not have noticed its failure yet.
    timestamp replaced_owner_exclusion{std::chrono::seconds{10}};
    std::uint32_t max_idempotent_attempts = 3;

    std::size_t max_turn_bytes = std::size_t{256} * 1024;            ///< new messages of one turn
    std::size_t max_answer_bytes = std::size_t{384} * 1024;          ///< answers and results of calls
    std::size_t max_inline_result_bytes = 256;                       ///< longer results are stored as text
    std::size_t max_record_bytes = std::size_t{700} * 1024;          ///< of the snapshot; a value holds at most 1 MB
    std::size_t max_unflushed_bytes = std::size_t{16} * 1024 * 1024; ///< not yet in the key-value service
    std::size_t max_history_bytes = std::size_t{64} * 1024 * 1024;   ///< texts in memory, without `memory`
    std::size_t max_history_loads = 16;                              ///< programs whose texts are being read back
    std::size_t max_running_calls = 1024;

    std::shared_ptr<history_memory> memory; ///< shared by the partitions of a process; null: `max_history_bytes`

    fault_injection faults;
};

} // namespace lagoonferry
