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

/// Disables single safeguards of the protocol, so that tests can show that their checks detect the resulting faults.
/// All off in production.
struct fault_injection {
    bool send_before_confirmed = false;     ///< irreversible calls do not wait until their intent is durable
    bool reply_before_stored = false;       ///< replies are sent before a backup has acknowledged
    bool high_water_mark_after_use = false; ///< budget is used before its high-water mark is stored
    bool ignore_call_epoch = false;         ///< results of other calls of the same program are accepted
    bool skip_fencing = false;              ///< a takeover does not fence the backups
    bool continue_without_replica = false;  ///< a takeover that lacks a replica serves the state of the others
    bool ignore_unfinished_intents = false; ///< a takeover treats calls without an outcome as never sent
    bool count_new_backups_only = false;    ///< a change of backups counts only acknowledgements of the new list
    bool skip_history_read = false;         ///< a turn does not wait for texts that are not in memory
    bool skip_history_check = false;        ///< texts that are read back are not verified
};

/// Limits and timeouts of one partition owner.
struct owner_settings {
    std::uint32_t partition = 0;
    instance_ref self;
    std::uint64_t incarnation = 0; ///< of this process: its start time, see `process_start`
    std::string failure_domain;
    std::string writer; ///< unique for each object, for example 8 random bytes as hex; part of every write id
    journal_settings journal;

    std::size_t backups = 2;
    timestamp all_backups_timeout{std::chrono::milliseconds{50}}; ///< after it one acknowledgement suffices
    timestamp store_timeout{std::chrono::seconds{2}};             ///< without acknowledgement: refused or `not_stored`
    timestamp confirm_timeout{std::chrono::seconds{2}};           ///< of the intent of an irreversible call
    timestamp resend_interval{std::chrono::milliseconds{200}};    ///< of batches and fetches without a reply
    timestamp retention{std::chrono::minutes{10}};                ///< of ended programs and of results of calls
    /// For this time after a takeover the replaced owner is not chosen as a backup, because this instance may not have
    /// detected its failure yet.
    timestamp previous_owner_exclusion{std::chrono::seconds{10}};
    std::uint32_t max_idempotent_attempts = 3;

    std::size_t max_turn_bytes = std::size_t{256} * 1024;            ///< of the new messages of one turn
    std::size_t max_answer_bytes = std::size_t{384} * 1024;          ///< of an answer or a tool's result
    std::size_t max_inline_result_bytes = 256;                       ///< a longer result is stored as a text
    std::size_t max_record_bytes = std::size_t{700} * 1024;          ///< of the snapshot; values are limited to 1 MB
    std::size_t max_unflushed_bytes = std::size_t{16} * 1024 * 1024; ///< of the log, not yet in the key-value service
    std::size_t max_history_bytes = std::size_t{64} * 1024 * 1024;   ///< of texts in memory, if `memory` is null
    std::size_t max_history_loads = 16;                              ///< programs whose texts are read back at a time
    std::size_t max_running_calls = 1024;

    std::shared_ptr<history_memory> memory; ///< shared by the partitions of a process; may be null

    fault_injection faults;
};

} // namespace lagoonferry
