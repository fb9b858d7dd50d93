#include "document/document_put.h"

#include "util/ensure.h"

#include <algorithm>

namespace lagoonferry {

namespace {

constexpr timestamp retry_pause = std::chrono::milliseconds(100);

void perform(const put_call& call, document_put& put, kv_store& store, const put_clock& clock)
{
    if (call.pause.count() > 0) {
        clock.wait(call.pause);
    }
    switch (call.operation) {
    case put_call::kind::get:
        return put.on_read(store.get(call.key), clock.now());
    case put_call::kind::list:
        return put.on_list(store.list(call.key));
    case put_call::kind::compare_and_swap:
        return put.on_write(store.compare_and_swap(call.key, call.expected, call.value), clock.now());
    case put_call::kind::erase:
        return put.on_write(store.erase(call.key, call.expected), clock.now());
    }
}

bool perform_next(document_put& put, kv_store& store, const put_clock& clock)
{
    const auto call = put.next();
    if (!call) {
        return false;
    }
    perform(*call, put, store, clock);
    return true;
}

} // namespace

document_put::document_put(put_request request, timestamp deadline)
    : m_request(std::move(request)), m_deadline(deadline)
{
    m_new_record = {m_request.service, m_request.if_version + 1, m_request.write_id,
                    m_request.author,  m_request.time_ms,        m_request.body};
}

std::optional<put_call> document_put::next() const
{
    using kind = put_call::kind;
    const std::string head = document_key(m_request.service);
    switch (m_step) {
    case step::read_head:
    case step::read_conflict:
        return put_call{kind::get, head, 0, {}, m_pause};
    case step::write_history:
        return put_call{kind::compare_and_swap, document_history_key(m_request.service, m_previous_version), 0,
                        m_previous_text, m_pause};
    case step::swap_head:
        return put_call{kind::compare_and_swap, head, m_head_version, serialize_record(m_new_record), m_pause};
    case step::read_superseding:
        return put_call{kind::get, document_history_key(m_request.service, m_new_record.version), 0, {}, m_pause};
    case step::list_history:
        return put_call{kind::list, document_history_prefix(m_request.service), 0, {}, {}};
    case step::read_oldest:
        return put_call{kind::get, m_oldest.back(), 0, {}, {}};
    case step::erase_oldest:
        return put_call{kind::erase, m_oldest.back(), m_oldest_version, {}, {}};
    case step::end:
        break;
    }
    return std::nullopt;
}

void document_put::on_read(const kv_read& response, timestamp now)
{
    if (response.status != kv_status::ok) {
        if (m_step == step::read_oldest) {
            enter(step::end);
        }
        else if (m_step == step::read_head && response.status == kv_status::unavailable) {
            reject(result_code::platform_unavailable, execution_state::not_run, "the key-value service is unavailable");
        }
        else {
            retry(now);
        }
        return;
    }
    switch (m_step) {
    case step::read_head:
        return on_head(response.entry);
    case step::read_conflict:
        return on_conflict(response.entry);
    case step::read_superseding:
        return on_superseded(response.entry);
    case step::read_oldest:
        return on_oldest(response.entry);
    default:
        ensure(false, "a put received a read response without a pending read");
    }
}

void document_put::on_list(const std::optional<std::vector<std::string>>& keys)
{
    ensure(m_step == step::list_history, "a put received a list response without a pending list call");
    if (!keys || m_new_record.version <= document_history_length + 1) {
        return enter(step::end);
    }
    const std::string first_kept =
        document_history_key(m_request.service, m_new_record.version - document_history_length);
    std::ranges::copy_if(*keys, std::back_inserter(m_oldest), [&](const std::string& key) { return key < first_kept; });
    std::ranges::sort(m_oldest, std::greater{});
    enter(m_oldest.empty() ? step::end : step::read_oldest);
}

void document_put::on_write(const kv_write& response, timestamp now)
{
    switch (m_step) {
    case step::write_history:
        return on_history_written(response, now);
    case step::swap_head:
        return on_head_written(response, now);
    case step::erase_oldest:
        return response.status == kv_status::unavailable ? enter(step::end) : next_oldest();
    default:
        ensure(false, "a put received a write response without a pending write");
    }
}

void document_put::on_head(const kv_entry& head)
{
    const bool absent = head.version == 0;
    const auto previous = absent ? std::nullopt : parse_record(head.value);
    if (!absent && !previous) {
        return reject(result_code::platform_unavailable, execution_state::not_run,
                      "the stored document is not a valid record");
    }
    m_head_version = head.version;
    m_previous_version = previous ? previous->version : 0;
    m_previous_text = head.value;
    if (m_previous_version > m_request.if_version) {
        m_conflict_certain = true;
        return on_conflict(head);
    }
    if (m_previous_version < m_request.if_version) {
        return fail_with_conflict(previous);
    }
    enter(absent ? step::swap_head : step::write_history);
}

void document_put::on_conflict(const kv_entry& head)
{
    m_newer = parse_record(head.value);
    if (is_own_write(m_newer)) {
        return succeed();
    }
    if (m_newer && m_newer->version > m_new_record.version) {
        return enter(step::read_superseding);
    }
    fail_with_conflict(m_newer);
}

void document_put::on_superseded(const kv_entry& earlier)
{
    if (earlier.version != 0 && is_own_write(parse_record(earlier.value))) {
        return succeed();
    }
    // Without the record of this version it is unknown whether the own write took effect before it was superseded.
    if (earlier.version == 0 && m_maybe_written) {
        return reject(result_code::outcome_unknown, execution_state::outcome_unknown,
                      "the response was lost and the history no longer contains this version");
    }
    fail_with_conflict(m_newer);
}

void document_put::on_history_written(const kv_write& response, timestamp now)
{
    switch (response.status) {
    case kv_status::ok:
    case kv_status::conflict:
        return enter(step::swap_head);
    case kv_status::unavailable:
        return reject(result_code::platform_unavailable, execution_state::not_run,
                      "the key-value service is unavailable");
    case kv_status::unknown:
        return retry(now);
    }
}

void document_put::on_head_written(const kv_write& response, timestamp now)
{
    switch (response.status) {
    case kv_status::ok:
        return succeed();
    case kv_status::conflict:
        m_conflict_certain = !m_maybe_written;
        return enter(step::read_conflict);
    case kv_status::unavailable:
        if (!m_maybe_written) {
            return reject(result_code::platform_unavailable, execution_state::not_run,
                          "the key-value service is unavailable");
        }
        return retry(now);
    case kv_status::unknown:
        m_maybe_written = true;
        return retry(now);
    }
}

void document_put::on_oldest(const kv_entry& oldest)
{
    m_oldest_version = oldest.version;
    if (oldest.version == 0) {
        return next_oldest();
    }
    enter(step::erase_oldest);
}

void document_put::next_oldest()
{
    m_oldest.pop_back();
    enter(m_oldest.empty() ? step::end : step::read_oldest);
}

void document_put::enter(step next_step)
{
    m_step = next_step;
    m_pause = {};
}

void document_put::retry(timestamp now)
{
    if (now >= m_deadline) {
        return on_timeout();
    }
    m_pause = retry_pause;
}

void document_put::succeed()
{
    m_decided = true;
    m_result.run = execution_state::run;
    m_result.record = m_new_record;
    enter(step::list_history);
}

void document_put::fail_with_conflict(const std::optional<document_record>& newer)
{
    if (!newer) {
        return reject(result_code::document_conflict, execution_state::not_run,
                      "the document has no version " + std::to_string(m_request.if_version));
    }
    m_result.newer_version = newer->version;
    m_result.newer_author = newer->author;
    reject(result_code::document_conflict, execution_state::not_run,
           "version " + std::to_string(newer->version) + " by " + newer->author + " is in force, not version " +
               std::to_string(m_request.if_version));
}

void document_put::reject(result_code code, execution_state run, std::string text)
{
    m_decided = true;
    m_result.code = code;
    m_result.run = run;
    m_result.text = std::move(text);
    enter(step::end);
}

void document_put::on_timeout()
{
    if (m_conflict_certain) {
        return reject(result_code::document_conflict, execution_state::not_run,
                      "a newer version is in force, which could not be read");
    }
    if (m_maybe_written) {
        return reject(result_code::outcome_unknown, execution_state::outcome_unknown,
                      "the key-value service did not confirm whether the write took effect");
    }
    reject(result_code::platform_unavailable, execution_state::not_run,
           "the key-value service did not respond in time");
}

bool document_put::is_own_write(const std::optional<document_record>& record) const
{
    return record && record->write_id == m_request.write_id;
}

put_result run_put(document_put& put, kv_store& store, const put_clock& clock)
{
    while (perform_next(put, store, clock)) {
    }
    return put.result();
}

} // namespace lagoonferry
