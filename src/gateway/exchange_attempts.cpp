#include "gateway/exchange.h"

#include "settings/endpoint.h"
#include "util/log.h"

#include <algorithm>
#include <array>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Timeout for connecting to a target. It normally takes 1 ms and a round trip; longer means that the target is
/// unreachable or its accept queue is full.
constexpr milliseconds connect_timeout{250};

/// Maximum attempts of one request, including those that targets refused.
constexpr int max_attempts = 6;

/// Status of a target that is not the one named in the request. It does not run the request.
constexpr unsigned misdirected_status = 421;

/// Statuses that promise a caller that its request has not run and will not run. `misdirected_status` does so too.
constexpr std::array refusal_statuses{408U, 429U, 503U};

/// Maximum late responses to earlier requests that are skipped on one connection.
constexpr int max_late_responses = 3;

/// Expected output tokens of a turn as a fraction of its maximum; used for placement.
constexpr double expected_output_fraction = 0.25;

std::string connection_key(const target_record& target)
{
    return target.id + "/" + std::to_string(target.start) + "/" + target.address;
}

std::optional<tcp::endpoint> endpoint_of(std::string_view address)
{
    const endpoint parsed = parse_endpoint(address).value_or(endpoint{});
    error_code ec;
    const auto ip = asio::ip::make_address(parsed.ip, ec);
    return ec ? std::nullopt : std::optional(tcp::endpoint(ip, parsed.port));
}

} // namespace

// Targets that have ended do not count towards the target limit of the route.
std::vector<std::string> exchange::live_ran_targets() const
{
    std::vector<std::string> ran;
    std::ranges::copy_if(m_ran_targets, std::back_inserter(ran),
                         [this](const std::string& id) { return m_context.targets.may_be_live(id, steady_now()); });
    return ran;
}

placement_request exchange::placement() const
{
    placement_request request;
    request.prompt = m_call.prompt;
    request.output_tokens = static_cast<std::uint32_t>(m_call.max_output_tokens * expected_output_fraction);
    request.session = m_session;
    request.local_domain = m_context.settings.failure_domain;
    request.excluded_targets = m_avoided_targets;
    return request;
}

void exchange::start_attempt(attempt& current)
{
    const timestamp now = steady_now();
    current.uncached_tokens = m_context.loads.uncached_tokens(current.target, placement(), now);
    m_context.loads.on_sent(current.target, current.uncached_tokens);
}

void exchange::record_started(attempt& current)
{
    m_context.loads.on_first_event(current.target.id, current.uncached_tokens);
    current.uncached_tokens = 0;
}

const target_record* exchange::choose_target()
{
    const timestamp now = steady_now();
    std::vector<const target_record*> candidates = m_context.targets.usable(m_service, now);
    const auto ran = live_ran_targets();
    if (ran.size() >= m_route->max_targets) {
        std::erase_if(candidates,
                      [&ran](const target_record* item) { return std::ranges::find(ran, item->id) == ran.end(); });
    }
    placement_request request = placement();
    const target_record* best = m_context.loads.choose(candidates, request, now);
    if (best == nullptr && !m_avoided_targets.empty()) {
        // All targets have failed: an earlier one may work again now.
        request.excluded_targets = {};
        best = m_context.loads.choose(candidates, request, now);
    }
    return best;
}

bool exchange::is_still_usable(const target_record& target) const
{
    const target_record* present = m_context.targets.find_usable(target.id, steady_now());
    return present != nullptr && present->start == target.start;
}

asio::awaitable<bool> exchange::connect(attempt& current)
{
    // A faulty target may write its refusal of this request again. On a new connection it cannot be taken for the
    // response to the next attempt.
    const bool tried_before = std::ranges::find(m_avoided_targets, current.target.id) != m_avoided_targets.end();
    current.connection = tried_before ? nullptr : m_context.pool.take(connection_key(current.target));
    if (current.connection) {
        co_return true;
    }
    const auto to = endpoint_of(current.target.address);
    if (!to) {
        current.error = "the address is not usable";
        co_return false;
    }
    current.connection = m_context.pool.make();
    m_active = current.connection.get();
    const error_code ec =
        co_await current.connection->connect(*to, std::min(m_deadline, deadline_after(connect_timeout)));
    m_active = nullptr;
    if (ec) {
        current.error = "connect: " + ec.message();
    }
    co_return !ec;
}

asio::awaitable<std::unique_ptr<exchange::attempt>> exchange::open_attempt()
{
    while (!m_aborted && !deadline_passed() && m_attempts < max_attempts) {
        const target_record* target = choose_target();
        if (target == nullptr) {
            m_last_error = "no target is usable";
            co_return nullptr;
        }
        ++m_attempts;
        auto current = std::make_unique<attempt>();
        current->target = *target;
        start_attempt(*current);
        const bool connected = co_await connect(*current);
        if (connected && is_still_usable(current->target)) {
            co_return current;
        }
        record_started(*current);
        if (connected) {
            // It was removed, or has said that it leaves, while the connection was opened.
            m_context.loads.on_end(current->target.id);
            current->connection->close();
            m_avoided_targets.push_back(current->target.id);
            m_last_error = "the target left before the request was sent";
            continue;
        }
        m_context.loads.on_end(current->target.id);
        m_context.loads.on_failure(current->target.id, steady_now());
        m_context.metrics.on_attempt("unreachable");
        m_avoided_targets.push_back(current->target.id);
        m_last_error = current->error;
        log(log_part::dispatch, log_level::warning, "A target cannot be reached.", field("request", m_call.request_id),
            field("target", current->target.id), field("reason", current->error));
    }
    co_return nullptr;
}

unsigned exchange::priority() const
{
    constexpr unsigned max_priority = 9;
    const std::uint32_t rank = m_account != nullptr && m_account->rank ? *m_account->rank : m_route->rank;
    return std::min(max_priority, std::min(rank, max_priority) * 2 + 2);
}

http_request exchange::make_forward_request(const attempt& current) const
{
    if (log_enabled(log_part::dispatch, log_level::debug)) {
        std::string parts;
        for (const prompt_block& item : m_call.prompt) {
            parts += std::to_string(item.id % 100000) + ":" + std::to_string(item.tokens) + ",";
        }
        log(log_part::dispatch, log_level::debug, "A request is sent.", field("request", m_call.request_id),
            field("program", m_call.program), field("session", m_call.session), field("prompt", parts),
            field("output", m_call.max_output_tokens), field("budget", m_call.token_budget.value_or(0)),
            field("left_ms", m_call.program_time_left ? m_call.program_time_left->count() : -1),
            field("target", current.target.id), field("session_target", m_session.target),
            field("kept", m_session.cached_tokens), field("unread", current.uncached_tokens));
    }
    http_request out{m_request.method(), m_request.target(), 11};
    forward_options options;
    options.time_left = time_left(m_deadline);
    options.target_id = current.target.id;
    options.resume_after = m_last_event_id;
    options.from_start = m_route->keeps_history;
    if (m_route->rule == retry_rule::event_stream) {
        options.priority = priority();
    }
    if (!m_routes->document().accounts.empty()) {
        options.account = m_account == nullptr ? std::string_view{} : m_account->name;
    }
    m_context.adapter.write_forward_fields(out, m_request, options);
    out.body() = m_history + m_request.body();
    out.prepare_payload();
    return out;
}

// A reused connection may still deliver a response to an earlier request, or a refusal that was written twice. Such
// responses are skipped. Without a request id a refusal is trusted only on a connection that carried no other request.
asio::awaitable<bool> exchange::read_own_header(attempt& current, milliseconds timeout)
{
    const deadline until = std::min(m_deadline, deadline_after(timeout));
    for (int n = 0; n <= max_late_responses; ++n) {
        current.reader = std::make_unique<response_reader>(*current.connection);
        const error_code ec = co_await current.reader->read_header(until);
        if (ec) {
            current.error = "response: " + ec.message();
            current.timed_out = ec == beast::error::timeout && !current.reader->has_received_bytes();
            co_return false;
        }
        current.metadata = m_context.adapter.read_response(current.reader->fields());
        const std::string& id = current.metadata.request_id;
        const bool refusal = current.metadata.not_executed || current.reader->status() == misdirected_status;
        if (id == m_call.request_id || (id.empty() && refusal && !current.connection->is_reused())) {
            co_return true;
        }
        current.skipped_responses = true;
        log(log_part::dispatch, log_level::warning, "A response that belongs to another request is skipped.",
            field("request", m_call.request_id), field("target", current.target.id), field("response_id", id),
            field("status", current.reader->status()));
        if (co_await current.reader->skip_remaining(max_response_bytes, until)) {
            break;
        }
    }
    current.error = "the response belongs to another request";
    co_return false;
}

asio::awaitable<exchange::send_result> exchange::send(attempt& current, milliseconds first_byte_timeout)
{
    const http_request out = make_forward_request(current);
    m_active = current.connection.get();
    current.sent = steady_now();
    const error_code ec = co_await current.connection->send(out, m_deadline);
    bool answered = false;
    if (ec) {
        current.error = "send: " + ec.message();
    }
    else {
        answered = co_await read_own_header(current, first_byte_timeout);
    }
    m_active = nullptr;
    if (!answered) {
        count_run();
        co_return send_result::failed;
    }
    const bool misdirected = current.reader->status() == misdirected_status;
    if (current.metadata.leaving && !misdirected) {
        mark_leaving(current.target);
    }
    if (current.metadata.load) {
        m_context.loads.on_report(current.target.id, *current.metadata.load, steady_now());
    }
    if (current.metadata.not_executed || misdirected) {
        current.error = "not executed, status " + std::to_string(current.reader->status());
        co_return send_result::not_executed;
    }
    count_run();
    // The target may have run the request, so its status must not reach the caller: a non-idempotent request would be
    // repeated.
    if (std::ranges::find(refusal_statuses, current.reader->status()) != refusal_statuses.end()) {
        current.error =
            "status " + std::to_string(current.reader->status()) + " does not state that the request did not run";
        co_return send_result::failed;
    }
    co_return send_result::answered;
}

void exchange::mark_leaving(const target_record& target)
{
    if (is_still_usable(target)) {
        log(log_part::dispatch, log_level::info, "A target has said in a response that it leaves.",
            field("target", target.id), field("request", m_call.request_id));
    }
    m_context.targets.mark_leaving(target.id, target.start);
}

void exchange::end_attempt(attempt& current, bool reusable)
{
    record_started(current);
    m_context.loads.on_end(current.target.id);
    if (reusable && !current.skipped_responses && current.reader && current.reader->allows_reuse()) {
        m_context.pool.put(connection_key(current.target), std::move(current.connection), current.metadata.keep_alive);
    }
    else if (current.connection) {
        current.connection->close();
    }
}

// An error response of the target itself counts as a failure of the target, but is relayed to the caller.
void exchange::record_status(const attempt& current)
{
    constexpr unsigned first_error = 500;
    const timestamp now = steady_now();
    if (current.reader->status() >= first_error) {
        m_context.loads.on_failure(current.target.id, now);
        return;
    }
    m_context.loads.on_success(current.target.id);
    if (m_route->rule != retry_rule::event_stream) {
        m_context.loads.on_service_time(current.target.id, static_cast<double>((now - current.sent).count()) / 1'000,
                                        now);
    }
}

void exchange::fail_attempt(attempt& current)
{
    const bool stream = m_route->rule == retry_rule::event_stream;
    end_attempt(current, false);
    if (m_aborted) {
        return;
    }
    if (current.timed_out) {
        // What silenced this connection may have done the same to the idle ones.
        m_context.pool.close_idle(connection_key(current.target));
    }
    ++m_failures;
    m_context.loads.on_failure(current.target.id, steady_now());
    m_context.metrics.on_attempt("failed");
    m_last_error = current.error;
    if (std::ranges::find(m_ran_targets, current.target.id) == m_ran_targets.end()) {
        m_ran_targets.push_back(current.target.id);
    }
    if (!stream) {
        m_avoided_targets.push_back(current.target.id);
    }
    log(log_part::dispatch, log_level::warning, "An attempt failed after the request was sent.",
        field("request", m_call.request_id), field("route", m_route->name), field("target", current.target.id),
        field("reason", current.error), field("events", m_events),
        field("after_ms", (steady_now() - current.sent).count() / 1'000));
}

asio::awaitable<void> exchange::record_refusal(attempt& current)
{
    ++m_refusals;
    m_context.metrics.on_attempt("refused");
    m_context.loads.on_refusal(current.target.id, steady_now());
    m_avoided_targets.push_back(current.target.id);
    m_last_error = current.error;
    const error_code ec = co_await current.reader->skip_remaining(max_response_bytes, deadline_after(connect_timeout));
    end_attempt(current, !ec);
}

} // namespace lagoonferry
