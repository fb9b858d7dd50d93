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
    caf::actor peers;    ///< `send_takeover`
    caf::actor platform; ///< `platform_request` -> `kv_reply`
};

/// Decides when this instance takes partitions over and when it hands them over, from the placement on live members.
/// Safety does not depend on it: the head record decides who owns a partition.
class ownership_controller_state {
public:
    void start(caf::event_based_actor* self, const ownership_options& options, ownership_receivers receivers,
               board* shared);

    /// Sets the controllers of the partitions, by number. Precondition: called once, before the first tick.
    void set_partitions(std::vector<caf::actor> partitions);

    void on_tick();
    /// Notes the backups of an owned partition, which are contacts.
    void on_backups(const partition_backups& message);

    /// Notes that this instance keeps a copy for the owner of a partition.
    void on_replica_stored(const replica_stored& message);
    void on_status(const partition_status& status);
    void on_announcement(const partition_announcement& message);

    /// Takes a partition over that its owner has handed over.
    void on_takeover(const takeover_request& request);

    /// Hands all partitions over; returns how many this instance still has.
    std::size_t on_stop();

private:
    struct partition_record {
        bool owned = false;
        bool active = false; ///< owned, or a takeover runs; only then its controller is told of peers
        bool handing_over = false;
        std::uint64_t epoch = 0;
        timestamp next_takeover{0};
        timestamp misplaced_since{0};
        timestamp claimed{0};   ///< when its owner last named it in a heartbeat, or a head named a usable owner
        bool lost_here = false; ///< ended here without a known successor; the head may still name this process
        std::uint64_t awaited_epoch = 0; ///< of a head whose owner has not taken a handover over yet
        timestamp awaited_since{0};
        head_view head; ///< as last read, or as the partition's own controller told
        bool reading_head = false;
        timestamp head_read{0};       ///< 0: never
        std::uint64_t copy_epoch = 0; ///< of the last batch that this process stored as a backup
    };

    void update_placement();
    void send_membership();
    void send_peers(std::uint32_t partition);
    void publish_contacts();
    bool is_backup(std::uint32_t partition) const;
    bool wants_head(std::uint32_t partition, timestamp now) const;
    void consider(std::uint32_t partition, timestamp now);
    /// Reads the head record, which decides whether to take over.
    void read_head(std::uint32_t partition, timestamp now);
    void on_head(std::uint32_t partition, const kv_reply& reply);
    bool owner_has_failed(std::uint32_t partition, const head_view& head, timestamp now);

    /// Takes a failed owner's partition over, or asks the backup that should do it.
    void replace_owner(std::uint32_t partition, timestamp now);
    void take_over(std::uint32_t partition, timestamp now);
    void hand_over(std::uint32_t partition, const std::string& successor);
    bool claim_holds(std::uint32_t partition, timestamp now) const;

    /// Returns an entry instance that is not presumed down, also a leaving one, which still serves its partitions.
    std::optional<member> reachable(const std::string& id) const;
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
    placement m_places{{}};
    std::vector<std::string> m_best; ///< the best placed owner of each partition; empty without entries
    timestamp m_started{0};
};

/// The behaviour of the ownership controller. `shared` outlives the actor.
caf::behavior ownership_controller(caf::stateful_actor<ownership_controller_state>* self,
                                   const ownership_options& options, const ownership_receivers& receivers,
                                   board* shared);

} // namespace lagoonferry
