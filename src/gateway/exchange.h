#pragma once

#include "gateway/event_splitter.h"
#include "gateway/gateway_context.h"
#include "gateway/response_writer.h"
#include "net/client_connection.h"
#include "net/loop_deadline.h"
#include "routing/retry_after_policy.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

/// Handles one request of a caller: finds its route, reserves its tokens, sends it to targets as often as its kind
/// allows, and passes the answer on. Runs on one event loop; not thread-safe.
class exchange {
public:
    /// The arguments must outlive the exchange.
    exchange(gateway_context& context, const http_request& request, response_writer& sink);

    /// Runs until the answer was sent or broken off.
    asio::awaitable<void> run();

    /// Ends the exchange because the caller is gone: the work at the target is cancelled.
    void abort();

private:
    using milliseconds = std::chrono::milliseconds;

    enum class send_result {
        answered,     ///< the head of the target's answer was read
        not_executed, ///< the target did not run the request
        failed,       ///< the request may have run
    };

    /// A target and a connection to it.
    struct attempt {
        target_record target;
        std::unique_ptr<client_connection> connection;
        std::unique_ptr<answer_reader> reader;
        response_metadata facts;
        timestamp sent{};
        std::uint32_t uncached_tokens = 0; ///< of the prompt at this target, until the first event
        milliseconds first_limit{0};       ///< time to the first event after which the attempt counts as lost
        std::string problem;               ///< why it failed, for the log
    };

    asio::awaitable<bool> reserve_tokens();
    asio::awaitable<void> run_whole();
    asio::awaitable<void> run_stream();
    asio::awaitable<bool> relay_events(attempt& current);
    asio::awaitable<bool> pass_events(attempt& current, std::string_view bytes);
    asio::awaitable<std::unique_ptr<attempt>> open_attempt();
    asio::awaitable<void> note_refusal(attempt& current);
    asio::awaitable<bool> connect(attempt& current);
    asio::awaitable<send_result> send(attempt& current, milliseconds first_byte_limit);
    asio::awaitable<bool> read_own_head(attempt& current, milliseconds limit);
    asio::awaitable<void> give_up();
    asio::awaitable<void> refuse(unsigned status, std::string_view reason, refusal_cause cause = refusal_cause::busy);
    asio::awaitable<void> answer_own(unsigned status, std::string_view reason, std::optional<milliseconds> back);

    const target_record* choose_target();
    placement_request placement() const;
    void start_attempt(attempt& current);
    void note_started(attempt& current);
    std::vector<std::string> targets_that_ran() const;
    http_request forwarded(const attempt& current) const;
    void end_attempt(attempt& current, bool reusable);
    void fail_attempt(attempt& current);
    void note_status(const attempt& current);
    void note_result(std::string_view outcome, std::string_view reason);
    void settle();
    bool time_is_up() const;
    std::string_view host() const;
    std::uint32_t tokens_per_event() const;
    std::uint32_t prompt_tokens() const;
    unsigned priority() const;

    gateway_context& m_context;
    const http_request& m_request;
    response_writer& m_sink;
    call_metadata m_call;
    std::shared_ptr<const route_table> m_routes;
    const route* m_route = nullptr;
    std::string m_service;
    deadline m_arrived;
    deadline m_until;
    client_connection* m_active = nullptr; ///< in use by the present attempt
    bool m_aborted = false;
    bool m_granted = false;             ///< tokens are reserved
    session_location m_session;         ///< keeps the session's prompt
    std::string m_last_target;          ///< that ran the request last
    std::vector<std::string> m_ran_at;  ///< targets at which the request may have run
    std::vector<std::string> m_avoided; ///< targets that failed or refused
    int m_attempts = 0;
    int m_refusals = 0;     ///< by targets that did not run the request
    int m_failures = 0;     ///< after which the request may have run
    bool m_started = false; ///< the head of a stream was sent to the caller
    std::uint64_t m_events = 0;
    std::optional<std::uint64_t> m_last_event; ///< that the caller has
    event_splitter m_splitter;
    std::optional<timestamp> m_first_event_at;
    std::string m_last_problem;
};

} // namespace lagoonferry
