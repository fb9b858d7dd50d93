#pragma once

#include "http_server.h"
#include "kv_state.h"
#include "token_bucket.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace lagoonferry::standin {

/// Rate limits of the key-value service; 0 disables a limit.
struct kv_limits {
    double writes_per_second = 0;
    double reads_per_second = 0;
};

/// Stand-in for the key-value service over HTTP. Thread-safe.
class kv_server {
public:
    explicit kv_server(const kv_limits& limits);

    http_server& http() { return m_http; }

private:
    using request = httplib::Request;
    using response = httplib::Response;

    void add_routes();
    void add_lease_routes();
    bool admit(const char* kind, response& res);
    void get(const request& req, response& res);
    void put(const request& req, response& res);
    void erase(const request& req, response& res);
    void list(const request& req, response& res);
    void watch(const request& req, response& res);
    /// Returns a value for a test. The call is not counted or rate-limited, and faults with the path "/kv" do not
    /// apply.
    void inspect(const request& req, response& res);
    void stats(response& res);
    void set_limits(const kv_limits& limits);
    void expire();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    kv_state m_state;
    token_bucket m_writes;
    token_bucket m_reads;
    std::map<std::string, std::uint64_t> m_calls;
    http_server m_http; ///< last member: its handlers end before the other members are destroyed
};

} // namespace lagoonferry::standin
