#pragma once

#include "fencing_validator.h"
#include "http_server.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace lagoonferry::standin {

/// Stand-in for a tool or plain service over HTTP. It counts executions and does not deduplicate them. Thread-safe.
class tool_server {
public:
    using delay_map = std::map<std::string, std::chrono::milliseconds>;

    /// `delays` are the tools with the time from their effect to their reply; with none, every name is served at once.
    explicit tool_server(const delay_map& delays);

    http_server& http() { return m_http; }

private:
    struct tool {
        std::chrono::milliseconds delay{0};
        nlohmann::json result; ///< null: the arguments
    };

    void define(const httplib::Request& req, httplib::Response& res);
    void call(const httplib::Request& req, httplib::Response& res, const fault& effect);
    void executions(httplib::Response& res);

    std::mutex m_mutex;
    std::map<std::string, tool> m_tools;
    bool m_serve_any_name;
    fencing_validator m_fencing;
    std::map<std::string, std::uint64_t> m_by_call;
    std::map<std::string, std::uint64_t> m_by_key;
    std::map<std::string, std::uint64_t> m_by_tool;
    http_server m_http; ///< last, so that its handlers end before the state
};

} // namespace lagoonferry::standin
