#pragma once

#include "program/replica_messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace lagoonferry {

/// Bounds of one instance's copies.
struct replica_limits {
    std::size_t max_bytes = std::size_t{64} * 1024 * 1024;
    std::size_t max_replicas = 4096;                       ///< at least the number of partitions
    std::size_t max_fetch_bytes = std::size_t{512} * 1024; ///< items in one fetch reply; at least one item is returned
};

/// Removes single guards so that tests can show that their checks notice. All off in production.
struct replica_faults {
    bool accept_lower_epochs = false;
    bool accept_other_incarnations = false;
};

/// The copies that this instance keeps for owners of other instances: for each partition the highest epoch seen and
/// the part of the owner's log that is not yet in the key-value service. Does no I/O; one thread at a time.
class replica_store {
public:
    /// `incarnation` identifies this process start and must be the number that peers derive from heartbeats
    /// (`process_start`): a successor takes a copy for complete only if it comes from the incarnation named in the head
    /// record.
    replica_store(std::string id, std::uint64_t incarnation, replica_limits limits = {}, replica_faults faults = {});

    /// Stores a batch. Refuses lower epochs, batches for another incarnation or behind a gap, and texts whose digest
    /// does not match.
    replicate_reply replicate(const replicate_request& request);

    /// Returns the copy and refuses lower epochs from now on.
    fetch_reply fetch(const fetch_request& request);

    /// Bytes of all copies, estimated as in `item_bytes`.
    std::size_t bytes() const { return m_bytes; }

    std::size_t copies() const { return m_copies.size(); }

private:
    /// The last turn that a copy has seen of a program; kept after the text is dropped.
    struct chain_end {
        std::uint64_t number = 0;
        std::string digest;
    };

    struct copy {
        std::uint64_t highest_epoch = 0;
        std::uint64_t data_epoch = 0;
        std::uint64_t stream = 0;
        std::uint64_t last = 0;
        std::size_t bytes = 0;
        std::map<std::uint64_t, log_item> items;
        std::map<std::string, chain_end, std::less<>> chains;
    };

    copy* find_or_add(std::uint32_t partition);
    replicate_status store(copy& target, const replicate_request& request);
    replicate_status add(copy& target, const log_item& item);
    static bool extends_chain(const copy& target, const log_item& item);
    void restart(copy& target, const replicate_request& request);
    void drop_flushed(copy& target, std::uint64_t flushed);

    std::string m_id;
    std::uint64_t m_incarnation = 0;
    replica_limits m_limits;
    replica_faults m_faults;
    std::size_t m_bytes = 0;
    std::map<std::uint32_t, copy> m_copies;
};

} // namespace lagoonferry
