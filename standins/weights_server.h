#pragma once

#include "http_server.h"
#include "token_bucket.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <string>

namespace lagoonferry::standin {

/// Stand-in for the rate-limited weight store over HTTP. Thread-safe.
class weights_server {
public:
    using size_map = std::map<std::string, std::size_t>;

    /// `sizes` maps the names of the weights to their sizes in bytes. `bytes_per_second` is the bandwidth of all reads
    /// together; reads are served one after the other. A limit of 0 is disabled.
    weights_server(size_map sizes, double reads_per_second, double bytes_per_second = 0);

    http_server& http() { return m_http; }

private:
    void read(const httplib::Request& req, httplib::Response& res);

    std::mutex m_mutex;
    size_map m_sizes;
    token_bucket m_reads;
    double m_bytes_per_second = 0;
    timestamp m_bandwidth_free_at{0};
    http_server m_http; ///< last member: its handlers end before the other members are destroyed
};

} // namespace lagoonferry::standin
