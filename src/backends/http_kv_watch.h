#pragma once

#include "backends/kv_watch.h"

#include <memory>

namespace lagoonferry {

class call_counts;
class http_connection;

/// Client of the key-value service's watches, with its own connection. One thread at a time.
class http_kv_watch final : public kv_watch {
public:
    /// `address` is "<ip>:<port>". A wait lasts at most its own timeout plus `timeout`. `counts` outlives this object.
    http_kv_watch(const std::string& address, std::chrono::milliseconds timeout, call_counts& counts);
    http_kv_watch(const http_kv_watch&) = delete;
    http_kv_watch& operator=(const http_kv_watch&) = delete;
    ~http_kv_watch() override;

    std::optional<kv_changes> wait(std::string_view prefix, std::uint64_t after,
                                   std::chrono::milliseconds timeout) override;
    const failure& last_failure() const override { return m_failure; }

    /// Makes a running wait return nothing at once. Thread-safe.
    void interrupt();

private:
    std::unique_ptr<http_connection> m_connection;
    std::chrono::milliseconds m_timeout;
    call_counts& m_counts;
    failure m_failure;
};

} // namespace lagoonferry
