#pragma once

#include "backends/instance_list.h"

#include <chrono>
#include <memory>

namespace lagoonferry {

class call_counts;
class http_connection;

/// Client of the instance list with one keep-alive connection. One thread at a time.
class http_instance_list final : public instance_list {
public:
    /// `address` is "<ip>:<port>"; `timeout` as for `http_kv_store`. `counts` outlives this object.
    http_instance_list(const std::string& address, std::chrono::milliseconds timeout, call_counts& counts);
    http_instance_list(const http_instance_list&) = delete;
    http_instance_list& operator=(const http_instance_list&) = delete;
    ~http_instance_list() override;

    std::optional<std::vector<instance>> poll() override;
    const failure& last_failure() const override { return m_failure; }

private:
    std::unique_ptr<http_connection> m_connection;
    std::chrono::milliseconds m_timeout;
    call_counts& m_counts;
    failure m_failure;
};

} // namespace lagoonferry
