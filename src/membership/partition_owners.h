#pragma once

#include "membership/heartbeat.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// The owner of a partition, as learned from heartbeats and redirects.
struct known_owner {
    std::string id;
    std::uint64_t epoch = 0;
    std::uint64_t start = 0; ///< start time of the process that claimed it, see `process_start`

    bool operator==(const known_owner&) const = default;
};

/// The owners of partitions as this process knows them. A claim with a higher epoch replaces the known owner. Not
/// thread-safe.
class partition_owners {
public:
    explicit partition_owners(std::string self);

    /// Sets the partitions that this process owns.
    void set_own(std::vector<owned_partition> own);

    /// Merges the partitions that a heartbeat of `owner` claims. `start` is the start time of that process.
    void learn(std::string_view owner, std::span<const owned_partition> partitions, std::uint64_t start = 0);

    /// Returns the owner with the highest known epoch, or nothing.
    std::optional<known_owner> find(std::uint32_t partition) const;

    /// Returns up to `limit` own partitions for the next heartbeat, in round-robin order.
    std::vector<owned_partition> next_heartbeat(std::size_t limit);

private:
    std::string m_self;
    std::vector<owned_partition> m_own;
    std::size_t m_next = 0;
    std::map<std::uint32_t, known_owner> m_owners;
};

} // namespace lagoonferry
