#pragma once

#include "gateway/budget_coordinator.h"
#include "gateway/fleet_membership.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/platform_adapter.h"
#include "net/kept_connections.h"
#include "routing/retry_after_policy.h"
#include "routing/route_table.h"
#include "routing/target_directory.h"
#include "routing/target_placement.h"
#include "store/store_client.h"

#include <memory>
#include <string>
#include <string_view>

namespace lagoonferry {

/// Path at which gateways give each other the routing document.
inline constexpr std::string_view document_path = "/document";

/// What the parts of a gateway process share. Each member has one writer, named beside it. Runs on one event loop; not
/// thread-safe.
struct gateway_context {
    gateway_context(const asio::any_io_executor& executor, gateway_settings values,
                    const platform_adapter& used_adapter);

    asio::any_io_executor loop;
    gateway_settings settings;
    const platform_adapter& adapter;
    gateway_metrics metrics;
    target_directory targets;        ///< written by target_list_sync
    target_placement loads;          ///< written by exchanges
    retry_after_policy retry_delays; ///< of exchanges
    kept_connections pool;           ///< of exchanges
    fleet_membership fleet;
    store_client store;
    budget_coordinator budgets;
    std::shared_ptr<const route_table>
        routes;                         ///< in force; written by routing_document_sync; nullptr until one is known
    std::string document_text;          ///< of `routes`, for other gateways; written by routing_document_sync
    bool routes_confirmed = false;      ///< the store would tell a newer document; written by routing_document_sync
    bool stopping = false;              ///< written by the role
    std::size_t caller_connections = 0; ///< written by sessions
    std::size_t active_requests = 0;    ///< written by sessions
};

} // namespace lagoonferry
