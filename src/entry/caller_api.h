#pragma once

#include "entry/call_options.h"
#include "entry/caller_identity.h"
#include "entry/partition_router.h"
#include "entry/tool_runner.h"
#include "entry/turn_runner.h"

#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace httplib {
class DataSink;
struct Request;
struct Response;
class Server;
} // namespace httplib

namespace lagoonferry {

class entry_metrics;

/// The HTTP interface for callers, as docs/callers.md describes it. Handlers run on the server's threads.
class caller_api {
public:
    /// All references must outlive this object.
    caller_api(const board& shared, const partition_router& router, turn_runner& turns, tool_runner& tools,
               entry_metrics& metrics, std::string instance);

    /// Adds the routes. Precondition: the server is not running.
    void attach(httplib::Server& server);

    /// Returns the number of requests that are being served.
    std::uint32_t active() const { return m_active; }

private:
    struct turn_exchange;

    void open(const httplib::Request& request, httplib::Response& response);
    void query(const httplib::Request& request, httplib::Response& response);
    void end(const httplib::Request& request, httplib::Response& response);
    void chat(const httplib::Request& request, httplib::Response& response);
    void tool(const httplib::Request& request, httplib::Response& response);
    void query_call(const httplib::Request& request, httplib::Response& response);
    void list_addresses(const httplib::Request& request, httplib::Response& response) const;

    /// Identifies the caller and the partition of a request about an existing program. Otherwise sends a refusal and
    /// returns false.
    bool resolve_program(const httplib::Request& request, const std::string& program, httplib::Response& response,
                         caller_identity& caller, std::uint32_t& partition) const;

    /// Sends an event that needs no engine or tool call and waits for its reply.
    owner_reply send_and_wait(std::uint32_t partition, event input) const;

    /// The reply to a session's request and the engine that completed its call; `target` is empty if no engine did.
    struct served_reply {
        owner_reply reply;
        std::string target;
    };

    /// Runs the engine and tool calls of a session until the reply arrives.
    served_reply serve(std::uint32_t partition, call_session& session, const call_options& options,
                       const turn_runner::token_sink& sink);

    /// Runs one engine call. Returns the engine that completed it, or an empty string if the call failed.
    std::string run_engine_call(std::uint32_t partition, const call_session& session, const start_engine_call& work,
                                const call_options& options, const turn_runner::token_sink& sink);

    /// Changes the refusal `program_unavailable` to `moved` if another instance is known to own the partition.
    owner_reply redirect_to_owner(std::uint32_t partition, owner_reply reply) const;
    void count_end(const caller_identity& caller, const owner_reply& reply);
    void stream_completion(const std::shared_ptr<turn_exchange>& exchange, httplib::Response& response);
    void send_response(const httplib::Request& request, std::uint32_t partition, const owner_reply& reply,
                       httplib::Response& response) const;
    void send_moved(const httplib::Request& request, std::uint32_t partition, refusal value,
                    httplib::Response& response) const;

    const board& m_board;
    const partition_router& m_router;
    turn_runner& m_turns;
    tool_runner& m_tools;
    entry_metrics& m_metrics;
    std::string m_instance;
    std::atomic<std::uint32_t> m_active{0};
};

} // namespace lagoonferry
