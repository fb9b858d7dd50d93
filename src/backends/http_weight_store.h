#pragma once

#include "backends/weight_store.h"

#include <chrono>
#include <memory>

namespace lagoonferry {

class call_counts;
class http_connection;

/// Client of the weight store with one keep-alive connection. One thread at a time.
class http_weight_store final : public weight_store {
public:
    /// `address` is "<ip>:<port>"; `timeout` as for `http_kv_store`. `counts` outlives this object.
    http_weight_store(const std::string& address, std::chrono::milliseconds timeout, call_counts& counts);
    http_weight_store(const http_weight_store&) = delete;
    http_weight_store& operator=(const http_weight_store&) = delete;
    ~http_weight_store() override;

    std::optional<std::string> read(std::string_view name) override;
    const failure& last_failure() const override { return m_failure; }

private:
    std::unique_ptr<http_connection> m_connection;
    std::chrono::milliseconds m_timeout;
    call_counts& m_counts;
    failure m_failure;
};

} // namespace lagoonferry
