#pragma once

#include "gateway/gateway_context.h"
#include "platform/http_platform_adapter.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lagoonferry::test {

/// A gateway in this process without a store and without other gateways. Its targets are set by the test. Its routes
/// are /safe/ (idempotent, at most two targets), /unsafe/ (not idempotent), /stream/ (resumable, one target) and /kept/
/// (like /stream/, with histories kept by the system).
class gateway_rig {
public:
    /// `targets` are addresses; their ids are "t0", "t1" and so on.
    explicit gateway_rig(const std::vector<std::string>& targets);
    ~gateway_rig();
    gateway_rig(const gateway_rig&) = delete;
    gateway_rig& operator=(const gateway_rig&) = delete;

    /// Returns "IP:PORT" of the listener for callers.
    const std::string& address() const { return m_address; }

    /// Sends a request on a new connection and returns all bytes received until the connection closes, or until nothing
    /// arrives for `wait_ms`.
    std::string call(const std::string& request, int wait_ms = 4'000) const;

    /// Returns the text of a request with the given id.
    static std::string request(std::string_view method, std::string_view path, std::string_view id,
                               std::string_view more_fields = {}, std::string_view body = {});

    /// Puts the initial routing document in force after `change` was applied to it.
    void set_document(const std::function<void(routing_document&)>& change);

    /// Runs `task` on the gateway's event loop and waits until it is done.
    void on_loop(const std::function<void(gateway_context&)>& task);

private:
    asio::io_context m_loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    platform::http_platform_adapter m_adapter;
    std::unique_ptr<gateway_context> m_context;
    std::string m_address;
    std::thread m_thread;
};

/// Returns a complete, signed response of a target to a request.
std::string target_response(const std::string& request, std::string_view body, std::string_view more_fields = {});

/// Returns the header of a streamed response to a request.
std::string stream_header(const std::string& request);

/// Returns an event with this id as one HTTP chunk.
std::string event_chunk(int id);

inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace lagoonferry::test
