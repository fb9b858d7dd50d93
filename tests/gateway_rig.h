#pragma once

#include "gateway/gateway_context.h"
#include "platform/dialect.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lagoonferry::test {

/// A gateway in this process, without store and without other gateways, whose routing document and targets are set by
/// the test. Its routes: /safe/ (idempotent, two targets), /unsafe/ (once) and /stream/ (resumable, one target).
class gateway_rig {
public:
    /// `targets` are addresses; their ids are "t0", "t1" and so on.
    explicit gateway_rig(const std::vector<std::string>& targets);
    ~gateway_rig();
    gateway_rig(const gateway_rig&) = delete;
    gateway_rig& operator=(const gateway_rig&) = delete;

    /// Returns "IP:PORT" of the listener for callers.
    const std::string& address() const { return m_address; }

    /// Sends a request on a new connection and returns all that arrives until the end, or until `wait_ms` are over.
    std::string call(const std::string& request, int wait_ms = 4'000) const;

    /// Returns the text of a request with a fresh id.
    static std::string request(std::string_view method, std::string_view path, std::string_view id,
                               std::string_view more_fields = {}, std::string_view body = {});

    /// Runs `task` on the gateway's loop and waits for it.
    void on_loop(const std::function<void(gateway_context&)>& task);

private:
    asio::io_context m_loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    platform::dialect m_adapter;
    std::unique_ptr<gateway_context> m_context;
    std::string m_address;
    std::thread m_thread;
};

/// Returns the whole answer of a target to a request.
std::string target_answer(const std::string& request, std::string_view body, std::string_view more_fields = {});

/// Returns the head of a stream in answer to a request.
std::string stream_head(const std::string& request);

/// Returns an event as one chunk.
std::string event_chunk(int id);

inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace lagoonferry::test
