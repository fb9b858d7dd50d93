#pragma once

#include "backends/kv_leases.h"

#include <memory>

namespace lagoonferry {

class call_counts;
class http_connection;

/// Client of the key-value service's leases with one keep-alive connection. One thread at a time.
class http_kv_leases final : public kv_leases {
public:
    /// `address` is "<ip>:<port>"; `timeout` as for `http_kv_store`. `counts` outlives this object.
    http_kv_leases(const std::string& address, std::chrono::milliseconds timeout, call_counts& counts);
    http_kv_leases(const http_kv_leases&) = delete;
    http_kv_leases& operator=(const http_kv_leases&) = delete;
    ~http_kv_leases() override;

    std::optional<std::string> grant(std::chrono::milliseconds time_to_live) override;
    kv_status renew(std::string_view lease) override;
    kv_status revoke(std::string_view lease) override;
    kv_write compare_and_swap(std::string_view key, std::uint64_t expected, std::string_view value,
                              std::string_view lease) override;
    const failure& last_failure() const override { return m_failure; }

private:
    std::unique_ptr<http_connection> m_connection;
    std::chrono::milliseconds m_timeout;
    call_counts& m_counts;
    failure m_failure;
};

} // namespace lagoonferry
