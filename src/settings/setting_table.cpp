#include "settings/setting_table.h"

#include "settings/setting_text.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace lagoonferry {

namespace {

template <auto Group, auto Member>
constexpr setting_row row(std::string_view name, std::string_view placeholder, std::string_view help,
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
    row<identity, &identity_settings::instance_id>("instance-id", "NAME", "unique name of this process", true),
    row<identity, &identity_settings::failure_domain>("failure-domain", "NAME", "failure domain of this instance",
                                                      true),
    row<identity, &identity_settings::region>("region", "NAME", "region of this instance"),
    row<http, &http_settings::listen>("http-listen", "IP", "address to listen on for callers, peers and operators"),
    row<http, &http_settings::port>("http-port", "PORT", "HTTP port, 0 for any free one"),
    row<http, &http_settings::advertised>("advertised-address", "IP",
                                          "address given to callers and peers, by default http-listen"),
    row<http, &http_settings::worker_threads>("http-threads", "N", "HTTP worker threads, one for each open connection"),
    row<http, &http_settings::max_body_bytes>("max-body-bytes", "BYTES", "largest accepted request body"),
    row<peer, &peer_settings::datagram_port>("datagram-port", "PORT", "UDP port for peers, 0 for any free one"),
    row<peer, &peer_settings::rpc_port>("rpc-port", "PORT", "JSON-RPC port for peers, 0 for any free one"),
    row<peer, &peer_settings::seeds>("seeds", "LIST", "datagram addresses of a few peers"),
    row<platform, &platform_settings::kv>("kv-address", "ADDRESS", "address of the key-value service", true),
    row<platform, &platform_settings::instances>("instances-address", "ADDRESS", "address of the instance list", true),
    row<&settings::partitions, &partition_settings::count>("partitions", "N",
                                                           "number of partitions, the same in all processes"),
    row<&settings::memory, &memory_settings::history_mb>("history-memory-mb", "MB",
                                                         "texts of programs and of copies kept for others in memory"),
    row<timing, &timing_settings::heartbeat_ms>("heartbeat-ms", "MS", "time between two heartbeats"),
    row<timing, &timing_settings::suspicion_ms>("suspicion-ms", "MS", "silence after which a member is suspected"),
    row<timing, &timing_settings::presumed_down_ms>("presumed-down-ms", "MS",
                                                    "silence after which a member is presumed down"),
    row<timing, &timing_settings::address_ttl_ms>("address-ttl-ms", "MS",
                                                  "time for which callers may keep an address answer"),
    row<timing, &timing_settings::replica_wait_ms>("replica-wait-ms", "MS", "longest wait for all backups"),
    row<timing, &timing_settings::intent_confirmation_ms>("intent-confirmation-ms", "MS",
                                                          "longest wait for the confirmation of an intent"),
    row<timing, &timing_settings::instance_poll_ms>("instance-poll-ms", "MS",
                                                    "time between two reads of the instance list"),
    row<&settings::weights, &weight_settings::loads_per_minute>(
        "weight-loads-per-minute", "N", "loads from the weight store that one dispatcher may order, 0 for none"),
    row<&settings::weights, &weight_settings::loads_in_flight>("weight-loads-in-flight", "N",
                                                               "loads from the weight store at the same time"),
    row<&settings::log, &log_settings::level>("log-level", "LEVEL", "lowest level that is logged"),
    row<&settings::log, &log_settings::parts>("log-parts", "LIST", "levels of single parts"),
    row<&settings::storage, &storage_settings::data_folder>("data-folder", "PATH",
                                                            "folder for bulk data on instances with a disk"),
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
