#pragma once

#include "gateway/gateway_context.h"

namespace lagoonferry {

/// Writes this gateway's address to the store and reads those of the others, once at the start. Later ones are heard of
/// by heartbeats: of two gateways that start at the same time, at least one reads the other's entry. Repeats failed
/// calls until both are done.
asio::awaitable<void> register_gateway(gateway_context& context);

} // namespace lagoonferry
