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

/// Stand-in for a tool or plain service over HTTP. It counts executions and does not deduplicate calls. Thread-safe.
class tool_server {
public:
    using delay_map = std::map<std::string, std::chrono::milliseconds>;

    /// `delays` maps the name of each tool to the delay between the effect of a call and its response. If it is empty,
    /// all names are served without delay.
    explicit tool_server(const delay_map& delays);

    http_server& http() { return m_http; }

private:
    struct tool {
        std::chrono::milliseconds delay{0};
        nlohmann::json result; ///< null: the response repeats the arguments
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
    http_server m_http; ///< last member: its handlers end before the other members are destroyed
};

} // namespace lagoonferry::standin
