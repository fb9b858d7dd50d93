#pragma once

#include "program/action.h"
#include "program/event.h"
#include "program/owner_settings.h"
#include "util/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace lagoonferry {

enum class owner_phase {
    idle,         ///< not the owner; requests are refused with `moved` or `program_unavailable`
    taking_over,  ///< requests are refused with `program_unavailable`
    ready,        ///< serving
    handing_over, ///< finishing running work; new work is refused with `stopping`
};

/// Event counts since construction.
struct owner_counters {
    std::uint64_t stale_results = 0;        ///< engine or tool results that matched no running call
    std::uint64_t digest_mismatches = 0;    ///< texts of replicas or segments that were rejected
    std::uint64_t unavailable_programs = 0; ///< programs whose history could not be recovered
    std::uint64_t takeovers = 0;
    std::uint64_t evicted_texts = 0;
    std::uint64_t segment_reads = 0; ///< to read evicted texts back
};

/// The owner of the programs of one partition. Manages the order and history of their turns, their budgets,
/// irreversible calls, the replication to backups and the chain of durable writes. It is a state machine that takes
/// events and the current time and returns actions. It does no I/O, reads no clock and never blocks. One thread at a
/// time.
///
/// Every event with a request id gets exactly one `owner_reply`, unless the object is destroyed before. Actions must be
/// executed in the order in which they are returned.
class partition_owner {
public:
    explicit partition_owner(owner_settings settings);
    partition_owner(const partition_owner&) = delete;
    partition_owner& operator=(const partition_owner&) = delete;
    partition_owner(partition_owner&&) noexcept;
    partition_owner& operator=(partition_owner&&) noexcept;
    ~partition_owner();

    /// Handles an event and returns the resulting actions. `now` must not decrease between calls.
    std::vector<action> handle(const event& input, timestamp now);

    /// Returns when `timer_fired` must be handled unless another event comes first, or nothing if no timer is needed.
    std::optional<timestamp> next_wake() const;

    owner_phase phase() const;

    /// Returns the epoch of the current ownership or takeover, or 0 while idle.
    std::uint64_t epoch() const;

    /// Returns the backups in the head record while the partition is owned, else an empty list.
    std::vector<backup_ref> backups() const;

    owner_counters counters() const;

private:
    class core;
    std::unique_ptr<core> m_core;
};

} // namespace lagoonferry
