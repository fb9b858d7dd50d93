#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace lagoonferry::bench {

/// Response to one request of a demo caller, after retries and redirects.
struct caller_response {
    int status = 0; ///< HTTP status; 0 if the last attempt got no response
    nlohmann::json body;
    std::string text; ///< streamed text
    std::chrono::milliseconds first_token{0};
    std::chrono::milliseconds duration{0};
};

/// Parameters of one chat turn.
struct turn_parameters {
    std::string program;
    std::string content;
    std::string service_class = "normal";
    int turn = 0;
    int max_tokens = 48;
};

/// HTTP client with a list of entry addresses. It follows redirects, and retries at the next address if an instance
/// does not respond or returns 503. Not thread-safe.
class demo_caller {
public:
    demo_caller(std::vector<std::string> entries, std::string key);

    caller_response open(const std::string& service, const std::string& parent = {}, std::uint64_t tokens = 0);
    caller_response turn(const turn_parameters& parameters);
    caller_response tool(const std::string& program, const std::string& name, const std::string& key,
                         const nlohmann::json& arguments);
    caller_response program(const std::string& id);
    caller_response end(const std::string& id);

private:
    struct request_spec {
        std::string method;
        std::string path;
        std::vector<std::pair<std::string, std::string>> headers;
        std::string body;
    };

    caller_response send(const request_spec& spec);
    caller_response send_once(const request_spec& spec, const std::string& address, std::string& location) const;

    std::vector<std::string> m_entries;
    std::string m_key;
};

} // namespace lagoonferry::bench
