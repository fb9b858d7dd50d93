#include "journal/segment_set.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <set>

namespace lagoonferry {

namespace {

segment_text make_segment_text(text_ref text)
{
    segment_text out;
    out.program = program_of(*text);
    out.bytes = text_bytes(*text);
    if (const auto* turn = std::get_if<turn_text>(text.get())) {
        out.number = turn->number;
    }
    out.text = std::move(text);
    return out;
}

} // namespace

segment_set::segment_set(std::uint32_t partition, kv_outbox& outbox, const journal_settings& settings)
    : m_partition(partition), m_outbox(&outbox), m_settings(&settings)
{
}

void segment_set::add_loaded(std::string key, std::uint64_t version, std::vector<segment_text> texts)
{
    segment added{std::move(key), version, std::move(texts), false};
    added.evictable = total_bytes(added) >= m_settings->min_evictable_bytes;
    m_segments.push_back(std::move(added));
}

std::size_t segment_set::total_bytes(const segment& it)
{
    return std::accumulate(it.texts.begin(), it.texts.end(), std::size_t{0},
                           [](std::size_t sum, const segment_text& text) { return sum + text.bytes; });
}

bool segment_set::in_memory(const segment& it)
{
    return std::ranges::all_of(it.texts, [](const segment_text& text) { return text.text != nullptr; });
}

void segment_set::add(std::uint64_t sequence, text_ref text, timestamp now)
{
    m_unflushed_bytes += text_bytes(*text);
    m_pending.push_back({sequence, std::move(text), now});
}

void segment_set::drop(const std::function<bool(const segment_text&)>& unused)
{
    for (segment& it : m_segments) {
        std::erase_if(it.texts, unused);
    }
    std::erase_if(m_batch.content.texts, unused);
    std::erase_if(m_pending, [&](const pending_text& it) {
        const bool dropped = unused(make_segment_text(it.text));
        m_unflushed_bytes -= dropped ? text_bytes(*it.text) : 0;
        return dropped;
    });
}

std::vector<std::uint64_t> segment_set::evict(std::string_view program, bool include_small)
{
    const auto of_program = [program](const segment_text& it) { return it.number != 0 && it.program == program; };
    std::set<std::uint64_t> retained;
    const auto retain = [&](const segment_text& it) {
        if (of_program(it)) {
            retained.insert(it.number);
        }
    };
    std::ranges::for_each(m_pending, [&](const pending_text& it) { retain(make_segment_text(it.text)); });
    std::ranges::for_each(m_batch.content.texts, retain);
    for (const segment& it : m_segments) {
        if (!it.evictable && !include_small) {
            std::ranges::for_each(it.texts, retain);
        }
    }
    std::vector<std::uint64_t> evicted;
    for (segment& it : m_segments) {
        for (segment_text& text : it.texts) {
            if ((it.evictable || include_small) && of_program(text) && !retained.contains(text.number)) {
                text.text.reset();
                evicted.push_back(text.number);
            }
        }
    }
    return evicted;
}

std::vector<std::string> segment_set::evicted_segment_keys(std::string_view program) const
{
    std::vector<std::string> keys;
    for (const segment& it : m_segments) {
        const bool has_evicted_text = std::ranges::any_of(
            it.texts, [program](const segment_text& text) { return text.text == nullptr && text.program == program; });
        if (has_evicted_text) {
            keys.push_back(it.key);
        }
    }
    return keys;
}

void segment_set::poll(std::uint64_t epoch, bool immediate, timestamp now)
{
    if (!m_write && due(immediate, now)) {
        start_batch(epoch, now);
    }
    if (m_write && !m_written) {
        m_write->poll(now);
    }
}

bool segment_set::due(bool immediate, timestamp now) const
{
    if (m_pending.empty()) {
        return false;
    }
    const bool interval_passed = !m_last_segment_start || now >= *m_last_segment_start + m_settings->segment_interval;
    return immediate || (interval_passed && now >= m_pending.front().added + m_settings->lazy_delay);
}

void segment_set::start_batch(std::uint64_t epoch, timestamp now)
{
    m_batch = {};
    while (!m_pending.empty()) {
        const std::size_t bytes = text_bytes(*m_pending.front().text);
        if (m_batch.new_bytes > 0 && m_batch.new_bytes + bytes > m_settings->max_segment_bytes) {
            break;
        }
        m_batch.new_bytes += bytes;
        m_batch.sequences.push_back(m_pending.front().sequence);
        m_batch.content.texts.push_back(make_segment_text(std::move(m_pending.front().text)));
        m_pending.pop_front();
    }
    if (m_segments.size() >= m_settings->min_segments_to_merge && m_batch.new_bytes < m_settings->max_segment_bytes) {
        merge_small_segments(m_settings->max_segment_bytes - m_batch.new_bytes);
    }
    m_batch.content.key = "history/" + std::to_string(m_partition) + "/" + std::to_string(epoch) + "-" +
                          std::to_string(m_batch.sequences.back());
    m_batch.content.evictable = total_bytes(m_batch.content) >= m_settings->min_evictable_bytes;
    std::vector<text_ref> texts;
    std::ranges::transform(m_batch.content.texts, std::back_inserter(texts), &segment_text::text);
    m_write.emplace(m_batch.content.key, encode_segment(texts), *m_outbox, *m_settings);
    m_written = false;
    m_last_segment_start = now;
}

void segment_set::merge_small_segments(std::size_t max_bytes)
{
    std::vector<const segment*> candidates;
    for (const segment& it : m_segments) {
        if (in_memory(it)) {
            candidates.push_back(&it);
        }
    }
    std::ranges::stable_sort(candidates, {}, [](const segment* it) { return total_bytes(*it); });
    for (const segment* it : candidates) {
        const std::size_t bytes = total_bytes(*it);
        if (bytes > max_bytes) {
            return;
        }
        max_bytes -= bytes;
        m_batch.replaces.push_back(it->key);
        std::ranges::copy(it->texts, std::back_inserter(m_batch.content.texts));
    }
}

void segment_set::handle(const kv_reply& reply, timestamp now)
{
    if (!m_write || m_written) {
        return;
    }
    m_write->handle(reply, now);
    if (const auto version = m_write->version()) {
        m_written = true;
        m_batch.content.version = *version;
    }
}

std::vector<std::string> segment_set::next_keys() const
{
    std::vector<std::string> keys;
    for (const segment& it : m_segments) {
        const bool replaced = m_written && std::ranges::count(m_batch.replaces, it.key) > 0;
        if (!replaced && !it.texts.empty()) {
            keys.push_back(it.key);
        }
    }
    if (m_written && !m_batch.content.texts.empty()) {
        keys.push_back(m_batch.content.key);
    }
    return keys;
}

std::vector<std::pair<std::string, std::uint64_t>> segment_set::committed(const std::vector<std::string>& keys)
{
    const auto named = [&keys](const std::string& key) { return std::ranges::find(keys, key) != keys.end(); };
    std::vector<std::pair<std::string, std::uint64_t>> unused;
    for (const segment& it : m_segments) {
        if (!named(it.key)) {
            unused.emplace_back(it.key, it.version);
        }
    }
    std::erase_if(m_segments, [&named](const segment& it) { return !named(it.key); });
    if (!m_written) {
        return unused;
    }
    const bool replaced_all = std::ranges::none_of(m_batch.replaces, named);
    if (named(m_batch.content.key)) {
        m_segments.push_back(std::move(m_batch.content));
    }
    else if (!m_batch.content.texts.empty() || !replaced_all) {
        return unused;
    }
    else {
        unused.emplace_back(m_batch.content.key, m_batch.content.version);
    }
    m_unflushed_bytes -= std::min(m_unflushed_bytes, m_batch.new_bytes);
    m_write.reset();
    m_written = false;
    m_batch = {};
    return unused;
}

std::uint64_t segment_set::flushed(std::uint64_t last) const
{
    if (m_write) {
        return m_batch.sequences.front() - 1;
    }
    return m_pending.empty() ? last : m_pending.front().sequence - 1;
}

std::optional<std::uint64_t> segment_set::first_unwritten(std::uint64_t after) const
{
    if (writing()) {
        const auto it = std::ranges::upper_bound(m_batch.sequences, after);
        if (it != m_batch.sequences.end()) {
            return *it;
        }
    }
    const auto it = std::ranges::upper_bound(m_pending, after, {}, &pending_text::sequence);
    return it == m_pending.end() ? std::nullopt : std::optional{it->sequence};
}

std::optional<timestamp> segment_set::next_wake() const
{
    if (m_write) {
        return m_written ? std::nullopt : std::optional{m_write->next_wake()};
    }
    if (m_pending.empty()) {
        return std::nullopt;
    }
    const timestamp delay_end = m_pending.front().added + m_settings->lazy_delay;
    return m_last_segment_start ? std::max(delay_end, *m_last_segment_start + m_settings->segment_interval) : delay_end;
}

std::string encode_segment(const std::vector<text_ref>& texts)
{
    nlohmann::json out = nlohmann::json::array();
    std::ranges::transform(texts, std::back_inserter(out), [](const text_ref& it) { return text_to_json(*it); });
    std::string value;
    nlohmann::json::to_cbor(out, value);
    return value;
}

std::optional<std::vector<text_ref>> decode_segment(std::string_view value)
{
    try {
        std::vector<text_ref> texts;
        for (const nlohmann::json& it : nlohmann::json::from_cbor(value)) {
            texts.push_back(std::make_shared<const stored_text>(text_from_json(it)));
        }
        return texts;
    }
    catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace lagoonferry
