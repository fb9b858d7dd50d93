#pragma once

#include "backends/kv_store.h"
#include "util/failure.h"

#include <chrono>
#include <memory>
#include <string>

namespace lagoonferry {

class call_counts;
class http_connection;

/// Client of the key-value service with one keep-alive connection. It never retries a call. One thread at a time.
class http_kv_store final : public kv_store {
public:
    /// `address` is "<ip>:<port>". Every call waits at most `timeout` for its response and as long again for a new
    /// connection. `counts` outlives this object.
    http_kv_store(const std::string& address, std::chrono::milliseconds timeout, call_counts& counts);
    http_kv_store(const http_kv_store&) = delete;
    http_kv_store& operator=(const http_kv_store&) = delete;
    ~http_kv_store() override;

    /// Reads one key. A read without a response is `unavailable`, because reads have no effect.
    kv_read get(std::string_view key) override;

    /// A write without a response, or with a 5xx status other than 503, is `unknown`. Refused connections and all other
    /// error statuses are `unavailable`.
    kv_write compare_and_swap(std::string_view key, std::uint64_t expected, std::string_view value) override;
    kv_write erase(std::string_view key, std::uint64_t expected) override;
    std::optional<std::vector<std::string>> list(std::string_view prefix) override;

    /// Why the last call was neither `ok` nor `conflict`.
    const failure& last_failure() const { return m_failure; }

private:
    std::unique_ptr<http_connection> m_connection;
    std::chrono::milliseconds m_timeout;
    call_counts& m_counts;
    failure m_failure;
};

} // namespace lagoonferry
