#pragma once

#include "gateway/budget_keeper.h"
#include "gateway/fleet_link.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/platform_dialect.h"
#include "net/kept_connections.h"
#include "routing/return_advice.h"
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
struct gateway_board {
    gateway_board(const asio::any_io_executor& executor, gateway_settings values,
                  const platform_dialect& speech_of_platform);

    asio::any_io_executor loop;
    gateway_settings settings;
    const platform_dialect& speech;
    gateway_metrics metrics;
    target_directory targets; ///< written by target_feed
    target_placement loads;   ///< written by exchanges
    return_advice returns;    ///< of exchanges
    kept_connections pool;    ///< of exchanges
    fleet_link fleet;
    store_client store;
    budget_keeper budgets;
    std::shared_ptr<const route_table> routes; ///< in force; written by document_feed; nullptr until one is known
    std::string document_text;                 ///< of `routes`, for other gateways; written by document_feed
    bool routes_confirmed = false;             ///< the store would tell a newer document; written by document_feed
    bool stopping = false;                     ///< written by the role
    std::size_t caller_connections = 0;        ///< written by sessions
    std::size_t requests_under_way = 0;        ///< written by sessions
};

} // namespace lagoonferry
