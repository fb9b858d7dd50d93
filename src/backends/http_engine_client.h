#pragma once

#include "backends/engine_client.h"

#include <cstddef>
#include <memory>
#include <mutex>
#include <set>

namespace lagoonferry {

class connection_pool;
class http_connection;
struct http_response;
struct http_request;

/// Engine client over HTTP with a bounded pool of keep-alive connections to any number of engines.
class http_engine_client final : public engine_client {
public:
    /// `counts` outlives this object. At most `max_connections` calls run at a time; further calls end as `not_sent`.
    http_engine_client(std::size_t max_connections, call_counts& counts);
    http_engine_client(const http_engine_client&) = delete;
    http_engine_client& operator=(const http_engine_client&) = delete;
    ~http_engine_client() override;

    engine_answer stream(const engine_call& call, const token_callback& on_token) override;
    call_end cancel(const std::string& address, const std::string& call_id, std::chrono::milliseconds timeout) override;
    std::optional<std::uint64_t> release(const std::string& address, const std::string& program,
                                         std::chrono::milliseconds timeout, failure& reason) override;
    std::optional<engine_load> load(const std::string& address, std::chrono::milliseconds timeout,
                                    failure& reason) override;
    std::optional<engine_cache_events> cache_events(const std::string& address, std::uint64_t after,
                                                    std::chrono::milliseconds timeout, failure& reason) override;
    std::optional<engine_cache_state> cache_state(const std::string& address, std::chrono::milliseconds timeout,
                                                  failure& reason) override;
    std::optional<std::string> export_cache(const std::string& address, const std::string& program,
                                            std::chrono::milliseconds timeout, failure& reason) override;
    std::optional<std::uint64_t> import_cache(const std::string& address, const std::string& exported,
                                              std::chrono::milliseconds timeout, failure& reason) override;
    engine_order_result order(const std::string& address, const engine_order& order,
                              std::chrono::milliseconds timeout) override;

private:
    struct running_stream;
    using stream_ptr = std::shared_ptr<running_stream>;

    http_response exchange(call_kind kind, const std::string& address, const http_request& request,
                           std::chrono::milliseconds timeout);
    stream_ptr register_stream(const std::string& call_id, http_connection& connection);
    void unregister_stream(const stream_ptr& stream);
    void interrupt_streams(const std::string& call_id);

    std::unique_ptr<connection_pool> m_pool;
    call_counts& m_counts;
    std::mutex m_mutex;
    std::set<stream_ptr> m_streams;
};

} // namespace lagoonferry
