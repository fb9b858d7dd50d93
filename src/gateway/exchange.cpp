#include "gateway/exchange.h"

#include "accounts/account_turn_id.h"
#include "util/log.h"
#include "util/rendezvous.h"

#include <algorithm>
#include <numeric>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

std::string format_seconds(milliseconds span)
{
    constexpr long long ms_per_second = 1'000;
    const std::string rest = std::to_string(span.count() % ms_per_second);
    return std::to_string(span.count() / ms_per_second) + "." + std::string(3 - rest.size(), '0') + rest;
}

long long ms_since(deadline from)
{
    return std::chrono::duration_cast<milliseconds>(loop_clock::now() - from).count();
}

} // namespace

exchange::exchange(gateway_context& context, const http_request& request, response_writer& writer)
    : m_context(context), m_request(request), m_writer(writer), m_call(context.adapter.read_call(request)),
      m_routes(context.routes), m_arrived(loop_clock::now()), m_deadline(m_arrived),
      m_last_event_id(m_call.last_event_id), m_held(context.response_bytes)
{
}

void exchange::abort()
{
    m_aborted = true;
    if (m_active != nullptr) {
        m_active->close();
    }
}

std::string_view exchange::host() const
{
    return to_std(m_request[http::field::host]);
}

bool exchange::deadline_passed() const
{
    return loop_clock::now() >= m_deadline;
}

std::uint32_t exchange::tokens_per_event() const
{
    const target_service* service = m_routes->service(m_service);
    return service == nullptr ? 1 : std::max(1U, service->tokens_per_event);
}

asio::awaitable<void> exchange::run()
{
    if (!m_routes) {
        co_await refuse(503, "no routing document is known");
        co_return;
    }
    m_route = m_routes->match(host(), to_std(m_request.target()));
    if (m_route == nullptr) {
        // Unless the store confirms the document, a newer one may have the route.
        const unsigned status = m_context.routes_confirmed ? 404 : 503;
        co_await refuse(status, "no route matches");
        co_return;
    }
    if (!co_await identify_account()) {
        co_return;
    }
    m_deadline = m_arrived + std::min(m_call.deadline.value_or(m_route->timeout), m_route->timeout);
    if (!m_context.stop.accepts(time_left(m_deadline), steady_now())) {
        co_await refuse(503, "the gateway stops before the request could end", refusal_cause::stopping);
        co_return;
    }
    const std::string& key = m_call.program.empty() ? m_call.request_id : m_call.program;
    m_service = choose_service(*m_route, stable_hash(key));
    const bool stream = m_route->rule == retry_rule::event_stream;
    if (stream && m_route->keeps_history && !co_await load_history()) {
        co_return;
    }
    if (stream && m_call.token_budget && !m_call.program.empty()) {
        if (!co_await reserve_tokens()) {
            co_return;
        }
    }
    if (!co_await check_request_limit() || !co_await admit()) {
        settle();
        co_return;
    }
    if (!m_aborted) {
        if (stream) {
            co_await run_stream();
        }
        else {
            co_await run_buffered();
        }
    }
    if (m_aborted) {
        record_result("aborted", "the caller closed the connection");
    }
    settle();
}

// A gateway that may have missed a document cannot tell an unknown key from a new one.
asio::awaitable<bool> exchange::identify_account()
{
    if (m_routes->document().accounts.empty()) {
        co_return true;
    }
    m_account = m_routes->account_of(m_call.api_key);
    if (m_account != nullptr || m_route->is_public) {
        co_return true;
    }
    const unsigned status = m_context.routes_confirmed ? 401 : 503;
    co_await refuse(status, m_call.api_key.empty() ? "the request has no API key" : "no account has this API key");
    co_return false;
}

// Turns of different accounts never meet, so a turn of another account does not exist for this one.
std::string exchange::kept_turn_id(std::string_view request_id) const
{
    return m_account == nullptr ? std::string(request_id) : account_turn_id(m_account->name, request_id);
}

// Reads the turns before this one. A turn that could not be kept afterwards is not run.
asio::awaitable<bool> exchange::load_history()
{
    if (!m_context.history.can_keep()) {
        co_await refuse(503, "too few history nodes respond", refusal_cause::history_unavailable);
        co_return false;
    }
    m_last_event_id.reset(); // the whole turn is kept, also if the caller has received a part of it
    if (m_call.previous_turn.empty()) {
        co_return true;
    }
    history_client::found_chain chain = co_await m_context.history.find(kept_turn_id(m_call.previous_turn));
    log(log_part::journal, log_level::info, "A turn continues an earlier one.", field("request", m_call.request_id),
        field("previous", m_call.previous_turn), field("result", to_string(chain.result)),
        field("bytes", chain.text.size()), field("ms", ms_since(m_arrived)));
    switch (chain.result) {
    case turn_lookup::found:
        m_history = std::move(chain.text);
        co_return true;
    case turn_lookup::does_not_exist:
        co_await refuse(404, "the previous turn does not exist");
        co_return false;
    case turn_lookup::uncertain:
        break;
    }
    co_await refuse(503, "the history nodes that may have the previous turn do not respond",
                    refusal_cause::history_unavailable);
    co_return false;
}

asio::awaitable<bool> exchange::keep_turn()
{
    turn_record record;
    record.id = kept_turn_id(m_call.request_id);
    record.previous = m_call.previous_turn.empty() ? std::string{} : kept_turn_id(m_call.previous_turn);
    record.input = m_request.body();
    record.output = m_output;
    record.retention = m_route->history_retention;
    co_return co_await m_context.history.keep(std::move(record));
}

asio::awaitable<bool> exchange::reserve_tokens()
{
    budget_request request;
    request.request = m_call.request_id;
    request.program = m_call.program;
    request.session = m_call.session;
    request.budget = m_call.token_budget.value_or(0);
    request.tokens = m_call.max_output_tokens;
    const budget_reply reply = co_await m_context.budgets.reserve(std::move(request));
    m_session = reply.location;
    m_first_turn = reply.first_turn;
    switch (reply.verdict) {
    case budget_verdict::granted:
        m_context.metrics.on_budget_decision("granted");
        m_granted = true;
        co_return true;
    case budget_verdict::exhausted:
        m_context.metrics.on_budget_decision("spent");
        co_await refuse(402, "the budget is too small for this turn");
        co_return false;
    case budget_verdict::undecided:
        break;
    }
    m_context.metrics.on_budget_decision("undecided");
    co_await refuse(503, "the budget cannot be checked without the store", refusal_cause::store_unavailable);
    co_return false;
}

void exchange::settle()
{
    settle_request_limit();
    if (!m_granted) {
        return;
    }
    budget_settlement message;
    message.request = m_call.request_id;
    message.program = m_call.program;
    message.session = m_call.session;
    message.tokens = m_events * tokens_per_event();
    message.location = {m_last_target, prompt_tokens() + static_cast<std::uint32_t>(message.tokens)};
    m_context.budgets.settle(message);
}

std::uint32_t exchange::prompt_tokens() const
{
    return std::accumulate(m_call.prompt.begin(), m_call.prompt.end(), std::uint32_t{0},
                           [](std::uint32_t sum, const prompt_block& item) { return sum + item.tokens; });
}

asio::awaitable<void> exchange::finish_failed()
{
    if (m_response_started) {
        m_writer.abort_stream();
        record_result("broken_off", m_last_error);
        co_return;
    }
    if (m_failures == 0) {
        const std::string reason = m_last_error.empty() ? "the deadline has passed" : m_last_error;
        co_await refuse(503, reason);
        co_return;
    }
    co_await send_own_response(deadline_passed() ? 504 : 502, m_last_error, std::nullopt);
    record_result(deadline_passed() ? "timed_out" : "failed", m_last_error);
}

asio::awaitable<void> exchange::refuse(unsigned status, std::string_view reason, refusal_cause cause)
{
    const auto retry_after = status == 503 ? std::optional(m_context.retry_delays.after(cause)) : std::nullopt;
    co_await send_own_response(status, reason, retry_after);
    record_result("refused_" + std::to_string(status), reason);
}

asio::awaitable<void> exchange::send_own_response(unsigned status, std::string_view reason,
                                                  std::optional<milliseconds> retry_after)
{
    http_fields fields;
    m_context.adapter.write_local_response_fields(fields, m_call);
    fields.set(http::field::content_type, "text/plain");
    if (status == 401) {
        fields.set(http::field::www_authenticate, "Bearer");
    }
    if (retry_after) {
        fields.set(http::field::retry_after, format_seconds(*retry_after));
    }
    co_await m_writer.send_response(status, std::move(fields), reason);
}

void exchange::record_result(std::string_view outcome, std::string_view reason)
{
    const std::string_view route_name = m_route == nullptr ? std::string_view("none") : m_route->name;
    const auto total = ms_since(m_arrived);
    m_context.metrics.on_response(route_name, outcome, static_cast<double>(total) / 1'000);
    const auto first =
        m_first_event_at
            ? (*m_first_event_at - std::chrono::duration_cast<timestamp>(m_arrived.time_since_epoch())).count() / 1'000
            : -1;
    log(log_part::entry, log_level::info, "Request ended.", field("request", m_call.request_id),
        field("program", m_call.program), field("account", m_account == nullptr ? "" : m_account->name),
        field("route", route_name), field("outcome", outcome), field("reason", reason), field("target", m_last_target),
        field("attempts", m_attempts), field("refusals", m_refusals), field("failures", m_failures),
        field("events", m_events), field("first_ms", first), field("ms", total),
        field("document", m_routes ? m_routes->document().version : 0));
}

} // namespace lagoonferry
