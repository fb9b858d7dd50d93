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
    /// All references outlive this object.
    caller_api(const board& shared, const partition_router& router, turn_runner& turns, tool_runner& tools,
               entry_metrics& metrics, std::string instance);

    /// Adds the routes. Precondition: the server is not running.
    void attach(httplib::Server& server);

    /// Requests that are being served.
    std::uint32_t active() const { return m_active; }

private:
    struct turn_exchange;

    void open(const httplib::Request& request, httplib::Response& response);
    void query(const httplib::Request& request, httplib::Response& response);
    void end(const httplib::Request& request, httplib::Response& response);
    void chat(const httplib::Request& request, httplib::Response& response);
    void tool(const httplib::Request& request, httplib::Response& response);
    void query_call(const httplib::Request& request, httplib::Response& response);
    void where(const httplib::Request& request, httplib::Response& response) const;

    /// Reads identity and partition of a request about an existing program, or answers with a refusal.
    bool admit(const httplib::Request& request, const std::string& program, httplib::Response& response,
               caller_identity& caller, std::uint32_t& partition) const;

    /// Sends an event and waits for its answer, without work for engines or tools.
    owner_reply send_and_wait(std::uint32_t partition, event input) const;

    /// The answer of a session and the engine that gave it, if one did.
    struct served_answer {
        owner_reply answer;
        std::string target;
    };

    /// Runs the work of a session up to its answer.
    served_answer serve(std::uint32_t partition, call_session& session, const call_options& options,
                        const turn_runner::token_sink& sink);

    /// Runs one engine call and returns the engine that completed it.
    std::string run_engine_call(std::uint32_t partition, const call_session& session, const start_engine_call& work,
                                const call_options& options, const turn_runner::token_sink& sink);

    owner_reply redirected(std::uint32_t partition, owner_reply answer) const;
    void count_end(const caller_identity& caller, const owner_reply& answer);
    void stream_answer(const std::shared_ptr<turn_exchange>& exchange, httplib::Response& response);
    void finish(const httplib::Request& request, std::uint32_t partition, const owner_reply& answer,
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
