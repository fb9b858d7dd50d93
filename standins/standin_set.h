#pragma once

#include "engine_server.h"
#include "instances_server.h"
#include "kv_server.h"
#include "options.h"
#include "relay_server.h"
#include "tool_server.h"
#include "weights_server.h"

#include <memory>
#include <string>
#include <vector>

namespace lagoonferry::standin {

/// Kind, name and listening address of a started stand-in.
struct standin_address {
    std::string kind;
    std::string name;
    std::string address;
};

/// The stand-ins of one process. Not thread-safe.
class standin_set {
public:
    /// Starts the stand-ins selected by the options. With `all`, engines and tools are registered as targets in the
    /// instance list. Returns false if a port is in use.
    bool start(const options& opts);

    /// Returns the started stand-ins in start order.
    const std::vector<standin_address>& addresses() const { return m_addresses; }

private:
    bool add(const options& opts, const std::string& kind, const std::string& name, http_server& server);
    bool add_engines(const options& opts, std::size_t count);
    bool add_tools(const options& opts, std::size_t count);
    bool add_relay(const options& opts);
    bool add_services(const options& opts);
    void register_targets(const options& opts);

    std::vector<standin_address> m_addresses;
    std::unique_ptr<kv_server> m_kv;
    std::unique_ptr<instances_server> m_instances;
    std::unique_ptr<weights_server> m_weights;
    std::unique_ptr<relay_server> m_relay;
    std::vector<std::unique_ptr<engine_server>> m_engines;
    std::vector<std::unique_ptr<tool_server>> m_tools;
};

} // namespace lagoonferry::standin
