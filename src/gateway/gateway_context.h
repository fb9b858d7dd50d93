#pragma once

#include "conversation/history_client.h"
#include "gateway/budget_coordinator.h"
#include "gateway/fleet_membership.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/limit_coordinator.h"
#include "gateway/platform_adapter.h"
#include "gateway/stop_schedule.h"
#include "net/buffer_quota.h"
#include "net/client_connection_pool.h"
#include "routing/retry_after_policy.h"
#include "routing/route_table.h"
#include "routing/target_directory.h"
#include "routing/target_placement.h"
#include "store/store_client.h"

#include <memory>
#include <string>
#include <string_view>

namespace lagoonferry {

/// Path at which a gateway serves the routing document to other gateways.
inline constexpr std::string_view document_path = "/document";

/// State that the components of a gateway process share. Where a member names a writer, only that component changes it.
/// Runs on one event loop; not thread-safe.
struct gateway_context {
    gateway_context(const asio::any_io_executor& executor, gateway_settings initial_settings,
                    const platform_adapter& used_adapter);

    asio::any_io_executor loop;
    gateway_settings settings;
    const platform_adapter& adapter;
    gateway_metrics metrics;
    target_directory targets;        ///< written by target_list_sync
    target_placement loads;          ///< written by exchange
    retry_after_policy retry_delays; ///< used by exchange for Retry-After
    client_connection_pool pool;     ///< idle connections to targets, used by exchange
    buffer_quota response_bytes;     ///< of responses that are not relayed yet, used by exchange
    fleet_membership fleet;
    store_client store;
    budget_coordinator budgets;
    history_client history;                    ///< started by routing_document_sync when a route needs it
    std::shared_ptr<const route_table> routes; ///< in force, or nullptr; written by routing_document_sync
    limit_coordinator limits;                  ///< of the accounts in `routes`
    std::string document_text;                 ///< of `routes`, for other gateways; written by routing_document_sync
    /// Whether a newer document would arrive: the store answers, or a gateway that watches it announces versions.
    /// Written by routing_document_sync.
    bool routes_confirmed = false;
    /// When the store last responded to this gateway on the routing document. Written by routing_document_sync.
    timestamp document_response_at{};
    stop_schedule stop;                 ///< written by gateway_process
    std::size_t caller_connections = 0; ///< written by client_session
    std::size_t active_requests = 0;    ///< written by client_session
};

} // namespace lagoonferry
