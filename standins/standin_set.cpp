#include "standin_set.h"

namespace lagoonferry::standin {

bool standin_set::start(const options& opts)
{
    using enum standin_kind;
    if (!add_services(opts)) {
        return false;
    }
    if (opts.kind == relay && !add_relay(opts)) {
        return false;
    }
    const std::size_t engines = opts.kind == engine ? 1 : opts.engines;
    const std::size_t tools = opts.kind == tool ? 1 : opts.tools;
    if ((opts.kind == all || opts.kind == engine) && !add_engines(opts, engines)) {
        return false;
    }
    if ((opts.kind == all || opts.kind == tool) && !add_tools(opts, tools)) {
        return false;
    }
    if (opts.kind == all) {
        register_targets(opts);
    }
    return true;
}

bool standin_set::add(const options& opts, const std::string& kind, const std::string& name, http_server& server)
{
    const int port = opts.port == 0 ? 0 : opts.port + static_cast<int>(m_addresses.size());
    if (!server.start(opts.host, port)) {
        return false;
    }
    m_addresses.push_back({kind, name, server.address()});
    return true;
}

bool standin_set::add_engines(const options& opts, std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n) {
        engine_options engine = opts.engine;
        engine.limits.decode_tokens_per_second = opts.decode_speeds[n % opts.decode_speeds.size()];
        m_engines.push_back(std::make_unique<engine_server>(engine));
        if (!add(opts, "engine", "engine-" + std::to_string(n), m_engines.back()->http())) {
            return false;
        }
    }
    return true;
}

bool standin_set::add_tools(const options& opts, std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n) {
        m_tools.push_back(std::make_unique<tool_server>(opts.tool_delays));
        if (!add(opts, "tool", "tool-" + std::to_string(n), m_tools.back()->http())) {
            return false;
        }
    }
    return true;
}

bool standin_set::add_relay(const options& opts)
{
    m_relay = std::make_unique<relay_server>(opts.relay_target);
    if (!m_relay->start(opts.host)) {
        return false;
    }
    m_addresses.push_back({"relay", "relay", m_relay->address()});
    return add(opts, "relay", "control", m_relay->http());
}

bool standin_set::add_services(const options& opts)
{
    using enum standin_kind;
    const auto wanted = [&](standin_kind kind) { return opts.kind == kind || opts.kind == all; };
    if (wanted(kv)) {
        m_kv = std::make_unique<kv_server>(opts.kv);
    }
    if (wanted(instances)) {
        m_instances = std::make_unique<instances_server>(opts.instances_lag);
    }
    if (wanted(weights)) {
        m_weights =
            std::make_unique<weights_server>(opts.weights, opts.weight_reads_per_second, opts.weight_bytes_per_second);
    }
    return (m_kv == nullptr || add(opts, "kv", "kv", m_kv->http())) &&
           (m_instances == nullptr || add(opts, "instances", "instances", m_instances->http())) &&
           (m_weights == nullptr || add(opts, "weights", "weights", m_weights->http()));
}

void standin_set::register_targets(const options& opts)
{
    std::size_t n = 0;
    for (const standin_address& it : m_addresses) {
        if (it.kind != "engine" && it.kind != "tool") {
            continue;
        }
        const std::string domain = "domain-" + std::to_string(n++ % opts.failure_domains);
        m_instances->put(it.name, {{"kind", "target"}, {"address", it.address}, {"failure_domain", domain}});
    }
}

} // namespace lagoonferry::standin
