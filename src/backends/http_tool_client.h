#pragma once

#include "backends/tool_client.h"

#include <cstddef>
#include <memory>

namespace lagoonferry {

class connection_pool;

/// Tool client over HTTP with a bounded pool of keep-alive connections. Thread-safe.
class http_tool_client final : public tool_client {
public:
    /// `counts` outlives this object. At most `max_connections` calls run at a time; further calls end as `not_sent`.
    http_tool_client(std::size_t max_connections, call_counts& counts);
    http_tool_client(const http_tool_client&) = delete;
    http_tool_client& operator=(const http_tool_client&) = delete;
    ~http_tool_client() override;

    tool_result call(const tool_call& call) override;

private:
    std::unique_ptr<connection_pool> m_pool;
    call_counts& m_counts;
};

} // namespace lagoonferry
