#pragma once

#include "gateway/gateway_context.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace lagoonferry {

/// Exchanges with the other gateways how many requests each has in flight at each target. Otherwise each gateway would
/// know only its own part of the load, and all would choose the same fast targets. Runs on one event loop; not
/// thread-safe.
class load_exchange {
public:
    explicit load_exchange(gateway_context& context) : m_context(context) {}

    /// Starts the exchange. Call once.
    void start();

private:
    asio::awaitable<void> run();
    void on_loads(const std::string& sender, const nlohmann::json& body);

    gateway_context& m_context;
    std::vector<target_load> m_sent;
    timestamp m_sent_at{};
};

} // namespace lagoonferry
