#pragma once

#include "gateway/gateway_context.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace lagoonferry {

/// Tells the other gateways which requests of this one are at which target, and hears theirs. Without it each gateway
/// sees a part of the load and all choose the same fast targets. Runs on one event loop; not thread-safe.
class load_exchange {
public:
    explicit load_exchange(gateway_context& context) : m_context(context) {}

    /// Starts the exchange. Call once.
    void start();

private:
    asio::awaitable<void> run();
    void on_told(const std::string& sender, const nlohmann::json& body);

    gateway_context& m_context;
    std::vector<target_load> m_told;
    timestamp m_told_at{};
};

} // namespace lagoonferry
