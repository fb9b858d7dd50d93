#pragma once

#include "program/replica_messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace lagoonferry {

/// Limits of the replicas on one instance.
struct replica_limits {
    std::size_t max_bytes = std::size_t{64} * 1024 * 1024;
    std::size_t max_replicas = 4096;                       ///< at least the number of partitions
    std::size_t max_fetch_bytes = std::size_t{512} * 1024; ///< items in one fetch reply; at least one item is returned
};

/// Disables single safeguards, so that tests can show that their checks detect the resulting faults. All off in
/// production.
struct replica_faults {
    bool accept_lower_epochs = false;
    bool accept_other_incarnations = false;
};

/// The replicas that this instance stores as a backup for owners on other instances. For each partition they consist of
/// the highest epoch seen and the part of the owner's log that is not yet in the key-value service. Does no I/O. One
/// thread at a time.
class replica_store {
public:
    /// `incarnation` identifies the start of this process. It must be the number that peers derive from heartbeats
    /// (`process_start`), because a successor treats a replica as complete only if it comes from the incarnation in the
    /// head record.
    replica_store(std::string id, std::uint64_t incarnation, replica_limits limits = {}, replica_faults faults = {});

    /// Stores a batch. Refuses lower epochs, batches for another incarnation or after a gap, and texts with a wrong
    /// digest.
    replicate_reply replicate(const replicate_request& request);

    /// Returns the replica, or its next part, and refuses lower epochs from now on.
    fetch_reply fetch(const fetch_request& request);

    /// Returns the size of all replicas, estimated as in `item_bytes`.
    std::size_t bytes() const { return m_bytes; }

    std::size_t replica_count() const { return m_replicas.size(); }

private:
    /// The last turn of a program in a replica. Kept after its text is dropped.
    struct last_turn {
        std::uint64_t number = 0;
        std::string digest;
    };

    struct replica_state {
        std::uint64_t highest_epoch = 0;
        std::uint64_t data_epoch = 0;
        std::uint64_t stream = 0;
        std::uint64_t last = 0;
        std::size_t bytes = 0;
        std::map<std::uint64_t, log_item> items;
        std::map<std::string, last_turn, std::less<>> last_turns;
    };

    replica_state* find_or_add(std::uint32_t partition);
    replicate_status apply_batch(replica_state& replica, const replicate_request& request);
    replicate_status append_item(replica_state& replica, const log_item& item);
    static bool extends_chain(const replica_state& replica, const log_item& item);
    void reset_replica(replica_state& replica, const replicate_request& request);
    void drop_flushed(replica_state& replica, std::uint64_t flushed);

    std::string m_id;
    std::uint64_t m_incarnation = 0;
    replica_limits m_limits;
    replica_faults m_faults;
    std::size_t m_bytes = 0;
    std::map<std::uint32_t, replica_state> m_replicas;
};

} // namespace lagoonferry
