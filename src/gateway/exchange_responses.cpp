#include "gateway/exchange.h"

#include <algorithm>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Maximum failed attempts of one request after which it may have run.
constexpr int max_failures = 3;

/// An idempotent request without a response is retried after this time: the longest service time in the users' data
/// sheets, on a slow machine.
constexpr milliseconds idempotent_response_timeout{450};

/// Timeouts for the first event of a stream and between events. After them the stream is resumed on a new connection.
constexpr milliseconds first_event_timeout{2'600};
constexpr milliseconds event_gap_timeout{1'500};

/// Maximum size in bytes of one event of a stream.
constexpr std::size_t max_event_bytes = 1'048'576;

/// A stream is broken off when it has this many times the events that its maximum number of tokens allows.
constexpr std::uint64_t max_event_excess = 2;

} // namespace

asio::awaitable<void> exchange::run_buffered()
{
    const bool retryable = m_route->retryable();
    while (auto current = co_await open_attempt()) {
        const milliseconds timeout = retryable ? idempotent_response_timeout : m_route->timeout;
        const send_result result = co_await send(*current, timeout);
        if (result == send_result::not_executed) {
            co_await record_refusal(*current);
            continue;
        }
        std::string body;
        buffer_share held(m_context.response_bytes);
        bool complete = false;
        if (result == send_result::answered) {
            m_active = current->connection.get();
            const error_code ec = co_await current->reader->read_remaining(body, max_response_bytes, held, m_deadline);
            m_active = nullptr;
            const bool success = current->reader->status() < 300;
            const bool genuine = !success || (current->metadata.signed_by_target && !current->metadata.encoded);
            complete = !ec && genuine;
            current->error = ec ? "body: " + ec.message() : genuine ? "" : "the response is not signed by the target";
        }
        if (complete) {
            record_status(*current);
            m_context.metrics.on_attempt("answered");
            m_last_target = current->target.id;
            const unsigned status = current->reader->status();
            http_fields fields;
            m_context.adapter.write_response_fields(fields, current->reader->fields());
            end_attempt(*current, true);
            const bool sent = co_await m_writer.send_response(status, std::move(fields), body);
            record_result(sent ? "answered" : "caller_gone", "");
            co_return;
        }
        fail_attempt(*current);
        if (!retryable || m_failures >= max_failures) {
            break;
        }
    }
    if (!m_aborted) {
        co_await finish_failed();
    }
}

asio::awaitable<bool> exchange::forward_events(attempt& current, std::string_view bytes)
{
    std::string out;
    for (stream_event& item : m_splitter.feed(bytes)) {
        if (!has_fields(item) || (item.id && m_last_event_id && *item.id <= *m_last_event_id)) {
            continue; // no event, or one that the caller has
        }
        if (item.id && m_last_event_id && *item.id > *m_last_event_id + 1) {
            current.error = "an event is missing";
            break;
        }
        if (m_route->keeps_history) {
            m_output += event_data(item.text);
            m_output += '\n';
        }
        const bool known_to_caller = item.id && m_call.last_event_id && *item.id <= *m_call.last_event_id;
        out += known_to_caller ? std::string_view{} : item.text;
        ++m_events;
        m_last_event_id = item.id ? item.id : m_last_event_id;
        if (!m_first_event_at) {
            m_first_event_at = steady_now();
        }
    }
    if (current.error.empty() && m_splitter.rest().size() > max_event_bytes) {
        current.error = "an event is too large";
    }
    if (current.error.empty() && !m_held.resize(m_splitter.rest().capacity() + m_output.capacity())) {
        current.error = "the responses of all targets hold too much memory";
    }
    if (current.error.empty() && m_events > max_events()) {
        current.error = "the stream has more events than its maximum number of tokens allows";
    }
    bool sent = true;
    if (!out.empty() && !m_response_started) {
        http_fields fields;
        m_context.adapter.write_response_fields(fields, current.reader->fields());
        m_response_started = true;
        sent = co_await m_writer.start_stream(current.reader->status(), std::move(fields), out);
    }
    else if (!out.empty()) {
        sent = co_await m_writer.send_data(out);
    }
    if (!sent) {
        m_aborted = true;
    }
    co_return sent&& current.error.empty();
}

// Without a maximum number of tokens, as many events as fit into the largest turn of any model.
std::uint64_t exchange::max_events() const
{
    constexpr std::uint64_t max_turn_tokens = 1'000'000;
    const std::uint64_t tokens = m_call.max_output_tokens > 0 ? m_call.max_output_tokens : max_turn_tokens;
    return max_event_excess * (tokens / tokens_per_event() + 1);
}

// Returns whether the stream ended normally.
asio::awaitable<bool> exchange::relay_events(attempt& current)
{
    m_splitter = {};
    const std::uint64_t events_before = m_events;
    timestamp first{};
    deadline event_due = deadline_after(first_event_timeout);
    while (!current.reader->done()) {
        std::string bytes;
        const std::uint64_t events_so_far = m_events;
        const error_code ec = co_await current.reader->read_some(bytes, std::min(m_deadline, event_due));
        if (!co_await forward_events(current, bytes)) {
            co_return false;
        }
        if (m_events > events_so_far) {
            event_due = deadline_after(event_gap_timeout);
        }
        if (m_events > events_before && first == timestamp{}) {
            first = steady_now();
            record_started(current);
        }
        if (ec) {
            current.error = "stream: " + ec.message();
            co_return false;
        }
    }
    if (m_splitter.inside_event()) {
        current.error = "the stream ended inside an event";
        co_return false;
    }
    const auto output = static_cast<std::uint32_t>(m_events * tokens_per_event());
    m_context.loads.on_prompt(current.target.id, m_call.prompt, output, steady_now());
    const auto intervals = static_cast<double>(m_events - events_before) - 1;
    if (intervals >= 2) {
        const double ms = static_cast<double>((steady_now() - first).count()) / 1'000;
        m_context.loads.on_token_time(current.target.id, ms / (intervals * tokens_per_event()), steady_now());
    }
    co_return true;
}

asio::awaitable<void> exchange::run_stream()
{
    while (auto current = co_await open_attempt()) {
        const send_result result = co_await send(*current, first_event_timeout);
        if (result == send_result::not_executed) {
            co_await record_refusal(*current);
            continue;
        }
        if (result == send_result::answered && current->reader->status() >= 300) {
            std::string body;
            buffer_share held(m_context.response_bytes);
            m_active = current->connection.get();
            const error_code ec = co_await current->reader->read_remaining(body, max_response_bytes, held, m_deadline);
            m_active = nullptr;
            if (!ec && !m_response_started) {
                const unsigned status = current->reader->status();
                http_fields fields;
                m_context.adapter.write_response_fields(fields, current->reader->fields());
                record_status(*current);
                end_attempt(*current, true);
                co_await m_writer.send_response(status, std::move(fields), body);
                record_result("target_error", std::to_string(status));
                co_return;
            }
            current->error = "status " + std::to_string(current->reader->status());
        }
        else if (result == send_result::answered &&
                 (!current->metadata.signed_by_target || current->metadata.encoded)) {
            current->error = "the response is not signed by the target";
        }
        else if (result == send_result::answered) {
            m_active = current->connection.get();
            const bool complete = co_await relay_events(*current);
            m_active = nullptr;
            m_last_target = current->target.id;
            if (complete && m_response_started) {
                m_context.loads.on_success(current->target.id);
                m_context.metrics.on_attempt("answered");
                end_attempt(*current, true);
                if (m_route->keeps_history && !co_await keep_turn()) {
                    // The caller may continue only from a turn whose response looks complete.
                    m_writer.abort_stream();
                    record_result("not_kept", "too few history nodes have confirmed the turn");
                    co_return;
                }
                const std::string_view no_more_bytes;
                const bool sent = co_await m_writer.end_stream(no_more_bytes);
                record_result(sent ? "answered" : "caller_gone", "");
                co_return;
            }
            if (complete) {
                current->error = "the stream ended without an event";
            }
        }
        fail_attempt(*current);
        if (m_aborted || !m_route->retryable() || m_failures >= max_failures) {
            break;
        }
        m_context.metrics.on_resume();
    }
    if (!m_aborted) {
        co_await finish_failed();
    }
}

} // namespace lagoonferry
