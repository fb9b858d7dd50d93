#include "settings/setting_table.h"

#include "settings/setting_text.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace lagoonferry {

namespace {

/// Describes the setting stored in `Member` of `Group`. Parsing, formatting and range follow from its type.
template <auto Group, auto Member>
constexpr setting_row typed_setting_row(std::string_view name, std::string_view placeholder, std::string_view help,
                                        bool required = false)
{
    return {name,
            placeholder,
            help,
            required,
            [](settings& all, std::string_view text) { return parse_setting(text, all.*Group.*Member); },
            [](const settings& all) { return format_setting(all.*Group.*Member); },
            [] {
                const settings defaults;
                return setting_range(defaults.*Group.*Member);
            }};
}

constexpr auto identity = &settings::identity;
constexpr auto http = &settings::http;
constexpr auto peer = &settings::peer;
constexpr auto platform = &settings::platform;
constexpr auto timing = &settings::timing;

constexpr std::array rows{
    typed_setting_row<identity, &identity_settings::instance_id>("instance-id", "NAME", "unique name of this process",
                                                                 true),
    typed_setting_row<identity, &identity_settings::failure_domain>("failure-domain", "NAME",
                                                                    "failure domain of this instance", true),
    typed_setting_row<identity, &identity_settings::region>("region", "NAME", "region of this instance"),
    typed_setting_row<http, &http_settings::listen>("http-listen", "IP",
                                                    "address to listen on for callers, peers and operators"),
    typed_setting_row<http, &http_settings::port>("http-port", "PORT", "HTTP port, 0 selects any free port"),
    typed_setting_row<http, &http_settings::advertised>(
        "advertised-address", "IP", "address announced to callers and peers, by default that of http-listen"),
    typed_setting_row<http, &http_settings::worker_threads>("http-threads", "N",
                                                            "HTTP worker threads, one for each open connection"),
    typed_setting_row<http, &http_settings::max_body_bytes>("max-body-bytes", "BYTES",
                                                            "maximum size of a request body"),
    typed_setting_row<peer, &peer_settings::datagram_port>("datagram-port", "PORT",
                                                           "UDP port for peers, 0 selects any free port"),
    typed_setting_row<peer, &peer_settings::rpc_port>("rpc-port", "PORT",
                                                      "JSON-RPC port for peers, 0 selects any free port"),
    typed_setting_row<peer, &peer_settings::seeds>("seeds", "LIST",
                                                   "UDP addresses of peers to contact while no others are known"),
    typed_setting_row<platform, &platform_settings::kv>("kv-address", "ADDRESS", "address of the key-value service",
                                                        true),
    typed_setting_row<platform, &platform_settings::instances>(
        "instances-address", "ADDRESS", "address of the service that has the instance list", true),
    typed_setting_row<&settings::partitions, &partition_settings::count>(
        "partitions", "N", "number of partitions, must be the same in all processes"),
    typed_setting_row<&settings::memory, &memory_settings::history_mb>(
        "history-memory-mb", "MB", "memory limit for program histories and backup replicas"),
    typed_setting_row<timing, &timing_settings::heartbeat_ms>("heartbeat-ms", "MS", "interval between heartbeats"),
    typed_setting_row<timing, &timing_settings::suspicion_ms>(
        "suspicion-ms", "MS", "time without a heartbeat after which a member is suspected to be down"),
    typed_setting_row<timing, &timing_settings::presumed_down_ms>(
        "presumed-down-ms", "MS", "time without a heartbeat after which a member is presumed down"),
    typed_setting_row<timing, &timing_settings::address_ttl_ms>(
        "address-ttl-ms", "MS", "time for which callers may cache an address lookup response"),
    typed_setting_row<timing, &timing_settings::replica_wait_ms>(
        "replica-wait-ms", "MS", "timeout for acknowledgements from all backups, after which one is enough"),
    typed_setting_row<timing, &timing_settings::intent_confirmation_ms>(
        "intent-confirmation-ms", "MS", "timeout for the confirmation that an intent is stored durably"),
    typed_setting_row<timing, &timing_settings::instance_poll_ms>("instance-poll-ms", "MS",
                                                                  "interval between reads of the instance list"),
    typed_setting_row<&settings::weights, &weight_settings::loads_per_minute>(
        "weight-loads-per-minute", "N",
        "maximum model loads per minute that one dispatcher orders from the weight store, 0 for none"),
    typed_setting_row<&settings::weights, &weight_settings::loads_in_flight>(
        "weight-loads-in-flight", "N", "maximum concurrent model loads from the weight store"),
    typed_setting_row<&settings::log, &log_settings::level>("log-level", "LEVEL", "minimum level of log messages"),
    typed_setting_row<&settings::log, &log_settings::parts>("log-parts", "LIST", "per-part log levels"),
    typed_setting_row<&settings::storage, &storage_settings::data_folder>(
        "data-folder", "PATH", "folder for bulk data on instances with a disk"),
};

} // namespace

std::span<const setting_row> setting_rows()
{
    return rows;
}

std::string variable_name(std::string_view setting)
{
    std::string name = "LAGOONFERRY_";
    std::ranges::transform(setting, std::back_inserter(name),
                           [](unsigned char c) { return c == '-' ? '_' : static_cast<char>(std::toupper(c)); });
    return name;
}

} // namespace lagoonferry
