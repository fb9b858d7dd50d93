#pragma once

#include "membership/partition_owners.h"
#include "membership/placement.h"
#include "membership/takeover_choice.h"
#include "roles/messages.h"

#include <caf/actor.hpp>
#include <caf/behavior.hpp>
#include <caf/stateful_actor.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

struct board;

struct ownership_options {
    std::string self;
    std::uint64_t start_time = 0; ///< of this process, see `process_start`
    std::uint32_t partitions = 32;
    timestamp presumed_down = std::chrono::seconds(6);
};

struct ownership_receivers {
    caf::actor peers;    ///< receives `send_takeover`
    caf::actor platform; ///< `platform_request` -> `kv_reply`
};

/// Decides from the placement on live members when this instance takes over or hands over partitions. Safety does not
/// depend on these decisions: the head record determines who owns a partition.
class ownership_controller_state {
public:
    void start(caf::event_based_actor* self, const ownership_options& options, ownership_receivers receivers,
               board* shared);

    /// Sets the controllers of the partitions, by number. Precondition: called once, before the first tick.
    void set_partitions(std::vector<caf::actor> partitions);

    void on_tick();

    /// Records the backups of an owned partition. They become contacts of this process.
    void on_backups(const partition_backups& message);

    /// Records that this instance stores a replica of a partition as its backup.
    void on_replica_stored(const replica_stored& message);
    void on_status(const partition_status& status);
    void on_announcement(const partition_announcement& message);

    /// Takes over a partition whose owner has handed it over or has failed.
    void on_takeover(const takeover_request& request);

    /// Starts the handover of all partitions. Returns the number of partitions that this instance still owns.
    std::size_t on_stop();

private:
    struct partition_record {
        bool owned = false;
        bool active = false; ///< owned or being taken over; only then its controller receives the peers
        bool handing_over = false;
        std::uint64_t epoch = 0;
        timestamp next_takeover{0}; ///< earliest time of the next head read or takeover
        timestamp misplaced_since{0};
        timestamp last_claim{0}; ///< when its owner last named it in a heartbeat, or a head record a usable owner
        bool lost_without_successor = false; ///< lost without a known successor; the head may still name this process
        std::uint64_t pending_epoch = 0;     ///< of a head that names the successor of an uncompleted handover
        timestamp pending_since{0};
        head_view head; ///< as last read, or as reported by the partition's controller
        bool reading_head = false;
        timestamp head_read_at{0};       ///< 0: never
        std::uint64_t replica_epoch = 0; ///< of the last batch stored here as a backup; 0 without a replica
    };

    void update_placement();
    void send_membership();
    void send_peers(std::uint32_t partition);
    void publish_contacts();
    bool is_backup(std::uint32_t partition) const;
    bool needs_head_read(std::uint32_t partition, timestamp now) const;
    void evaluate_partition(std::uint32_t partition, timestamp now);

    /// Reads the head record, which determines whether to take over.
    void read_head(std::uint32_t partition, timestamp now);
    void on_head(std::uint32_t partition, const kv_reply& reply);
    bool owner_has_failed(std::uint32_t partition, const head_view& head, timestamp now);

    /// Takes over the partition of a failed owner, or requests that from the successor that the placement selects.
    void replace_owner(std::uint32_t partition, timestamp now);
    void take_over(std::uint32_t partition, timestamp now);
    void hand_over(std::uint32_t partition, const std::string& successor);
    bool has_valid_claim(std::uint32_t partition, timestamp now) const;

    /// Returns the entry instance `id` unless it is gone or presumed down. A leaving one is included, because it still
    /// serves its partitions.
    std::optional<member> find_reachable(const std::string& id) const;
    void publish();

    caf::event_based_actor* m_self = nullptr;
    ownership_options m_options;
    ownership_receivers m_receivers;
    board* m_board = nullptr;
    std::unique_ptr<partition_owners> m_owners;
    std::vector<caf::actor> m_partitions;
    std::vector<partition_record> m_records;
    std::vector<peer_state> m_last_peers;
    std::vector<member> m_alive;
    placement m_placement{{}};
    std::vector<std::string> m_preferred_owners; ///< by placement, for each partition; empty without entry instances
    timestamp m_started{0};
};

/// Returns the behaviour of the ownership controller. `shared` must outlive the actor.
caf::behavior ownership_controller(caf::stateful_actor<ownership_controller_state>* self,
                                   const ownership_options& options, const ownership_receivers& receivers,
                                   board* shared);

} // namespace lagoonferry
