#pragma once

#include "settings/endpoint.h"
#include "settings/label.h"
#include "settings/ranged.h"
#include "settings/secret.h"
#include "util/log.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

/// An IPv4 or IPv6 address without a port.
struct ip_address {
    std::string text;

    bool operator==(const ip_address&) const = default;
};

using port_number = ranged<std::uint16_t, 0, 65535>;

/// The identity of this process. The maximum lengths bound the size of heartbeat datagrams.
struct identity_settings {
    label<32> instance_id;
    label<16> failure_domain;
    label<16> region;
};

/// The HTTP interface for callers and operators. Port 0 selects any free port.
struct http_settings {
    ip_address listen{"127.0.0.1"};
    port_number port = 8080;
    std::optional<ip_address> advertised; ///< the address given to callers and peers; the listen address if not set
    ranged<std::uint32_t, 4, 8192> worker_threads = 256;
    ranged<std::uint32_t, 1024, 67'108'864> max_body_bytes = 4'194'304;
};

/// The protocols between lagoonferry processes. Port 0 selects any free port.
struct peer_settings {
    port_number datagram_port = 8081;
    port_number rpc_port = 8082;
    std::vector<endpoint> seeds; ///< UDP addresses of peers, used while no other peers are known
};

/// The addresses of the platform services.
struct platform_settings {
    std::optional<endpoint> kv;
    std::optional<endpoint> instances;
};

/// Secret keys. Each comes from a file or an environment variable, never from a flag, because other users of the
/// machine can see the command line.
struct key_settings {
    secret cluster;
    secret operators;
};

struct partition_settings {
    ranged<std::uint32_t, 1, 65'536> count = 32;
};

struct memory_settings {
    /// Memory limit: three quarters for the histories of programs that this process owns, a quarter for the replicas
    /// that it holds as a backup. The memory limit of the whole process is 128 MB. An entry process with 1,000 open
    /// streams and 850 programs uses about 68 MB without histories; requests in flight and the allocator used about
    /// 40 MB in trials with turns of 60 KB.
    ranged<std::uint32_t, 8, 65'536> history_mb = 24;
};

/// Intervals and timeouts in milliseconds. The help texts in setting_table.cpp describe each.
struct timing_settings {
    ranged<std::uint32_t, 10, 10'000> heartbeat_ms = 500;
    ranged<std::uint32_t, 100, 60'000> suspicion_ms = 3'000;
    ranged<std::uint32_t, 200, 120'000> presumed_down_ms = 6'000;
    ranged<std::uint32_t, 100, 600'000> address_ttl_ms = 10'000;
    ranged<std::uint32_t, 1, 5'000> replica_wait_ms = 50;
    ranged<std::uint32_t, 10, 60'000> intent_confirmation_ms = 2'000;
    ranged<std::uint32_t, 100, 60'000> instance_poll_ms = 2'000;
};

/// Limits on loads of model weights from the weight store.
struct weight_settings {
    /// Maximum number of loads that one dispatcher starts per minute. With 0 it starts none, and targets keep the
    /// models that the service documents name.
    ranged<std::uint32_t, 0, 10'000> loads_per_minute = 0;
    ranged<std::uint32_t, 1, 1'000> loads_in_flight = 2; ///< maximum number of concurrent loads
};

struct log_settings {
    log_level level = log_level::info;
    std::map<std::string, log_level> parts; ///< levels of individual parts, by their names in the log
};

/// The absolute path of a folder, or empty for no folder.
struct folder_path {
    std::string text;

    bool operator==(const folder_path&) const = default;
};

/// Persistent storage for bulk data. Only a few instances have it.
struct storage_settings {
    folder_path data_folder;
};

/// The settings of one `entry` or `dispatch` process. They do not change after the start, so any thread may read them.
struct settings {
    identity_settings identity;
    http_settings http;
    peer_settings peer;
    platform_settings platform;
    key_settings keys;
    partition_settings partitions;
    memory_settings memory;
    timing_settings timing;
    weight_settings weights;
    log_settings log;
    storage_settings storage;
};

/// Returns the IP address given to callers and peers. Thread-safe.
inline const ip_address& advertised_ip(const http_settings& http)
{
    return http.advertised ? *http.advertised : http.listen;
}

} // namespace lagoonferry
