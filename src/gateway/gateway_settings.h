#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonferry {

/// An IP address and a port. An empty address means that the setting is not set.
struct listen_address {
    std::string ip;
    std::uint16_t port = 0;
    bool operator==(const listen_address&) const = default;
};

/// The settings of a gateway process.
struct gateway_settings {
    std::string id;
    std::string ip;
    std::string failure_domain;
    std::string region;
    listen_address callers;   ///< forwarded requests of callers
    listen_address readiness; ///< readiness and metrics
    listen_address lookup;    ///< address lookup for callers
    listen_address peers;     ///< requests of other gateways
    std::uint16_t datagram_port = 0;
    std::vector<std::string> seed_ips; ///< machines on which gateways may run
    std::string data_folder;           ///< empty on machines without a disk
    std::size_t tolerated_losses = 0;  ///< machines that may be lost at the same time
    bool first_start = false;          ///< first start of the whole system, so no program is running
    std::uint32_t max_descriptors = 1'024;
    std::size_t memory_bytes = 134'217'728; ///< limit of the process
    std::uint32_t capacity = 25;            ///< CPU capacity of this machine in percent of a core
    listen_address store;
    std::chrono::milliseconds drain_timeout{2'000}; ///< time after which a draining target must get no more requests
    std::chrono::milliseconds stop_grace{8'000};    ///< between SIGTERM and SIGKILL
    std::chrono::milliseconds max_address_ttl{5'000};
    std::chrono::milliseconds min_lease{1'000};
    /// Time after which a routing document that was written to the store must be in force.
    std::chrono::milliseconds document_delay_limit{2'000};
    /// Maximum wait of one watch request for documents. `document_delay_limit` can shorten it.
    std::chrono::milliseconds document_watch_timeout{25'000};
    /// In larger fleets a gateway sends its frequent updates to a few others only, which relay them or serve as a
    /// sample of the fleet. Full-mesh traffic grows with the square of the fleet: 300 gateways sent and received 300 KB
    /// a second each.
    std::size_t max_full_mesh_gateways = 100;
};

} // namespace lagoonferry
