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

/// An IP address without port.
struct ip_address {
    std::string text;

    bool operator==(const ip_address&) const = default;
};

using port_number = ranged<std::uint16_t, 0, 65535>;

/// Who this process is. The lengths bound the size of heartbeat datagrams.
struct identity_settings {
    label<32> instance_id;
    label<16> failure_domain;
    label<16> region;
};

/// The HTTP interface for callers and operators. Port 0 lets the system choose.
struct http_settings {
    ip_address listen{"127.0.0.1"};
    port_number port = 8080;
    std::optional<ip_address> advertised; ///< the address given to callers and peers; the listen address if not set
    ranged<std::uint32_t, 4, 8192> worker_threads = 256;
    ranged<std::uint32_t, 1024, 67'108'864> max_body_bytes = 4'194'304;
};

/// The protocols between our own processes. Port 0 lets the system choose.
struct peer_settings {
    port_number datagram_port = 8081;
    port_number rpc_port = 8082;
    std::vector<endpoint> seeds; ///< datagram addresses of a few peers, used until the instance list has answered
};

/// The services of the platform.
struct platform_settings {
    std::optional<endpoint> kv;
    std::optional<endpoint> instances;
};

/// Keys. Each is given by a file or an environment variable, never by a flag, which other users of a machine can see.
struct key_settings {
    secret cluster;
    secret operators;
};

struct partition_settings {
    ranged<std::uint32_t, 1, 65'536> count = 32;
};

struct memory_settings {
    /// Three quarters for the texts of owned programs, a quarter for the copies kept for other owners. A process may
    /// use 128 MB: an entry with 1,000 open streams and 850 programs takes about 68 MB without histories, and requests
    /// in flight and the allocator took about 40 MB in trials with turns of 60 KB.
    ranged<std::uint32_t, 8, 65'536> history_mb = 24;
};

struct timing_settings {
    ranged<std::uint32_t, 10, 10'000> heartbeat_ms = 500;
    ranged<std::uint32_t, 100, 60'000> suspicion_ms = 3'000;
    ranged<std::uint32_t, 200, 120'000> presumed_down_ms = 6'000;
    ranged<std::uint32_t, 100, 600'000> address_ttl_ms = 10'000;
    ranged<std::uint32_t, 1, 5'000> replica_wait_ms = 50;
    ranged<std::uint32_t, 10, 60'000> intent_confirmation_ms = 2'000;
    ranged<std::uint32_t, 100, 60'000> instance_poll_ms = 2'000;
};

/// The rate of the weight store. Loads are ordered only if it is set.
struct weight_settings {
    ranged<std::uint32_t, 0, 10'000> loads_per_minute = 0; ///< 0: targets keep the models of the documents
    ranged<std::uint32_t, 1, 1'000> loads_in_flight = 2;
};

struct log_settings {
    log_level level = log_level::info;
    std::map<std::string, log_level> parts; ///< levels of single parts, by the names of util/log.h
};

/// An absolute path of a folder; empty if there is none.
struct folder_path {
    std::string text;

    bool operator==(const folder_path&) const = default;
};

/// Persistent storage for bulk data, which only a few instances have.
struct storage_settings {
    folder_path data_folder;
};

/// The settings of one `entry` or `dispatch` process. Fixed after the start, so any thread may read them.
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

/// Returns the address given to callers and peers. Thread-safe.
inline const ip_address& advertised_ip(const http_settings& http)
{
    return http.advertised ? *http.advertised : http.listen;
}

} // namespace lagoonferry
