#pragma once

#include "gateway/event_splitter.h"
#include "gateway/gateway_context.h"
#include "gateway/response_writer.h"
#include "net/buffer_quota.h"
#include "net/client_connection.h"
#include "net/loop_deadline.h"
#include "routing/retry_after_policy.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

/// Handles one request of a caller: finds its route, reserves its tokens, forwards it to targets, retries as its route
/// allows, and relays the response. Runs on one event loop; not thread-safe.
class exchange {
public:
    /// The arguments must outlive the exchange.
    exchange(gateway_context& context, const http_request& request, response_writer& writer);

    /// Runs until the response is sent or its stream is aborted.
    asio::awaitable<void> run();

    /// Ends the exchange because the caller has disconnected, and cancels the work at the target.
    void abort();

private:
    using milliseconds = std::chrono::milliseconds;

    /// Maximum size in bytes of a plain service's response. It is buffered completely before it is relayed, so that the
    /// request can be retried when it breaks.
    static constexpr std::size_t max_response_bytes = 4'194'304;

    enum class send_result {
        answered,     ///< the header of the target's response was read
        not_executed, ///< the target did not run the request
        failed,       ///< the request may have run
    };

    /// One attempt to run the request: a target and a connection to it.
    struct attempt {
        target_record target;
        std::unique_ptr<client_connection> connection;
        std::unique_ptr<response_reader> reader;
        response_metadata metadata;
        timestamp sent{};
        bool timed_out = false;            ///< no byte of a response arrived in time
        std::uint32_t uncached_tokens = 0; ///< of the prompt at this target; 0 after the first event
        bool skipped_responses = false;    ///< the connection delivered responses to other requests
        std::string error;                 ///< why the attempt failed, for the log
    };

    asio::awaitable<bool> identify_account();
    asio::awaitable<bool> load_history();
    asio::awaitable<bool> keep_turn();
    asio::awaitable<bool> reserve_tokens();
    asio::awaitable<bool> check_request_limit();
    asio::awaitable<bool> admit();
    asio::awaitable<void> run_buffered();
    asio::awaitable<void> run_stream();
    asio::awaitable<bool> relay_events(attempt& current);
    asio::awaitable<bool> forward_events(attempt& current, std::string_view bytes);
    asio::awaitable<std::unique_ptr<attempt>> open_attempt();
    asio::awaitable<void> record_refusal(attempt& current);
    asio::awaitable<bool> connect(attempt& current);
    asio::awaitable<send_result> send(attempt& current, milliseconds first_byte_timeout);
    asio::awaitable<bool> read_own_header(attempt& current, milliseconds timeout);
    asio::awaitable<void> finish_failed();
    asio::awaitable<void> refuse(unsigned status, std::string_view reason, refusal_cause cause = refusal_cause::busy);
    asio::awaitable<void> send_own_response(unsigned status, std::string_view reason,
                                            std::optional<milliseconds> retry_after);

    const target_record* choose_target();
    placement_request placement() const;
    bool is_still_usable(const target_record& target) const;
    void mark_leaving(const target_record& target);
    std::uint64_t max_events() const;
    void start_attempt(attempt& current);
    void record_started(attempt& current);
    std::vector<std::string> live_ran_targets() const;
    http_request make_forward_request(const attempt& current) const;
    void end_attempt(attempt& current, bool reusable);
    void fail_attempt(attempt& current);
    void record_status(const attempt& current);
    void record_result(std::string_view outcome, std::string_view reason);
    void settle();
    void settle_request_limit();
    void count_run();
    bool deadline_passed() const;
    std::string_view host() const;
    std::uint32_t tokens_per_event() const;
    std::uint32_t prompt_tokens() const;
    unsigned priority() const;
    std::string kept_turn_id(std::string_view request_id) const;

    gateway_context& m_context;
    const http_request& m_request;
    response_writer& m_writer;
    call_metadata m_call;
    std::shared_ptr<const route_table> m_routes;
    const route* m_route = nullptr;
    const client_account* m_account = nullptr; ///< nullptr: the document has none, or the route is public
    std::string m_service;
    deadline m_arrived;
    deadline m_deadline;
    client_connection* m_active = nullptr; ///< connection of the present attempt while it is in use
    bool m_aborted = false;
    std::optional<std::string> m_limit_granter; ///< gateway that granted the request from the account's limit
    int m_runs = 0;                             ///< attempts that a target may have run
    bool m_granted = false;                     ///< the turn's tokens are reserved
    bool m_first_turn = false;                  ///< the program has used no tokens before this turn
    session_location m_session;                 ///< target whose prefix cache has the session's prompt
    std::string m_last_target;                  ///< the last one that ran the request
    std::vector<std::string> m_ran_targets;     ///< targets at which the request may have run
    std::vector<std::string> m_avoided_targets; ///< targets that failed or refused
    int m_attempts = 0;
    int m_refusals = 0;              ///< responses of targets that did not run the request
    int m_failures = 0;              ///< failed attempts after which the request may have run
    bool m_response_started = false; ///< the header of a stream was sent to the caller
    std::uint64_t m_events = 0;
    std::optional<std::uint64_t> m_last_event_id; ///< the last event that was sent to the caller
    event_splitter m_splitter;
    buffer_share m_held;   ///< of `m_splitter` and `m_output`
    std::string m_history; ///< inputs and outputs of the turns before this one, if the route keeps them
    std::string m_output;  ///< data of the events so far, each followed by a line feed, if the route keeps it
    std::optional<timestamp> m_first_event_at;
    std::string m_last_error;
};

} // namespace lagoonferry
