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
    idle,         ///< not the owner; requests are refused as `moved` or `program_unavailable`
    taking_over,  ///< requests are refused as `program_unavailable`
    ready,        ///< serving
    handing_over, ///< finishing running work; new work is refused as `stopping`
};

/// Counts since construction.
struct owner_counters {
    std::uint64_t stale_results = 0;        ///< engine or tool answers that matched no running call
    std::uint64_t digest_mismatches = 0;    ///< texts from copies or segments that were not served
    std::uint64_t unavailable_programs = 0; ///< programs whose history could not be recovered
    std::uint64_t takeovers = 0;
    std::uint64_t evicted_texts = 0;
    std::uint64_t segment_reads = 0; ///< to read texts back
};

/// Owns the programs of one partition: order and history of turns, budget, irreversible calls, replication to backups
/// and the chain of durable writes. Pure decision code: events and the time go in, actions come out. It does no I/O,
/// reads no clock, and never blocks. One thread at a time.
///
/// Every event that carries a request id is answered by exactly one `owner_reply`, unless the object is destroyed.
/// Actions must be carried out in the order in which they are returned.
class partition_owner {
public:
    explicit partition_owner(owner_settings settings);
    partition_owner(const partition_owner&) = delete;
    partition_owner& operator=(const partition_owner&) = delete;
    partition_owner(partition_owner&&) noexcept;
    partition_owner& operator=(partition_owner&&) noexcept;
    ~partition_owner();

    /// `now` never decreases from one call to the next.
    std::vector<action> handle(const event& input, timestamp now);

    /// When `timer_fired` should be handled next, if no other event comes first. Nothing is due without it.
    std::optional<timestamp> next_wake() const;

    owner_phase phase() const;

    /// The epoch of the present ownership, or 0.
    std::uint64_t epoch() const;

    /// The backups that the head record names while the partition is owned, else none.
    std::vector<backup_ref> backups() const;

    owner_counters counters() const;

private:
    class core;
    std::unique_ptr<core> m_core;
};

} // namespace lagoonferry
