#pragma once

#include "http_server.h"
#include "lagged_value.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace lagoonferry::standin {

/// Stand-in for the platform's instance list over HTTP. Thread-safe.
class instances_server {
public:
    /// A change of an entry is published after `lag`.
    explicit instances_server(std::chrono::milliseconds lag);

    http_server& http() { return m_http; }

    /// Adds or replaces an entry. `body` has the members `kind`, `address`, `failure_domain` and optionally
    /// `state`, as in the published list. Throws nlohmann::json::exception if one is missing.
    void put(const std::string& id, const nlohmann::json& body);

private:
    using entry_map = std::map<std::string, nlohmann::json>;

    void remove(const std::string& id);
    void publish();
    void respond_list(httplib::Response& res, const fault& effect);

    const std::chrono::milliseconds m_lag;
    std::mutex m_mutex;
    entry_map m_entries;
    lagged_value<entry_map> m_published;
    http_server m_http; ///< last member: its handlers end before the other members are destroyed
};

} // namespace lagoonferry::standin
