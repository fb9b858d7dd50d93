#pragma once

#include "gateway/gateway_context.h"

namespace lagoonferry {

/// Writes this gateway's address to the store and then reads the addresses of the others, once at the start. Gateways
/// that start later become known by heartbeats: of two gateways that start at the same time, at least one reads the
/// entry of the other. Retries failed calls until both are done.
asio::awaitable<void> register_gateway(gateway_context& context);

} // namespace lagoonferry
