#include "journal/segment_set.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <numeric>

namespace lagoonferry {

namespace {

std::size_t total_bytes(const std::vector<text_ref>& texts)
{
    return std::accumulate(texts.begin(), texts.end(), std::size_t{0},
                           [](std::size_t sum, const text_ref& it) { return sum + text_bytes(*it); });
}

} // namespace

segment_set::segment_set(std::uint32_t partition, kv_outbox& outbox, const journal_settings& settings)
    : m_partition(partition), m_outbox(&outbox), m_settings(&settings)
{
}

void segment_set::add_loaded(std::string key, std::uint64_t version, std::vector<text_ref> texts)
{
    m_segments.push_back({std::move(key), version, std::move(texts)});
}

void segment_set::add(std::uint64_t sequence, text_ref text, timestamp now)
{
    m_unflushed_bytes += text_bytes(*text);
    m_pending.push_back({sequence, std::move(text), now});
}

void segment_set::drop(const std::function<bool(const stored_text&)>& unused)
{
    const auto matches = [&unused](const text_ref& it) { return unused(*it); };
    for (segment& it : m_segments) {
        std::erase_if(it.texts, matches);
    }
    std::erase_if(m_batch.content.texts, matches);
    std::erase_if(m_pending, [&](const pending_text& it) {
        const bool dropped = unused(*it.text);
        m_unflushed_bytes -= dropped ? text_bytes(*it.text) : 0;
        return dropped;
    });
}

void segment_set::poll(std::uint64_t epoch, bool at_once, timestamp now)
{
    if (!m_write && due(at_once, now)) {
        start_batch(epoch, now);
    }
    if (m_write && !m_written) {
        m_write->poll(now);
    }
}

bool segment_set::due(bool at_once, timestamp now) const
{
    if (m_pending.empty()) {
        return false;
    }
    const bool spaced = !m_last_start || now >= *m_last_start + m_settings->segment_interval;
    return at_once || (spaced && now >= m_pending.front().added + m_settings->lazy_delay);
}

void segment_set::start_batch(std::uint64_t epoch, timestamp now)
{
    m_batch = {};
    while (!m_pending.empty()) {
        const std::size_t bytes = text_bytes(*m_pending.front().text);
        if (m_batch.new_bytes > 0 && m_batch.new_bytes + bytes > m_settings->segment_limit) {
            break;
        }
        m_batch.new_bytes += bytes;
        m_batch.sequences.push_back(m_pending.front().sequence);
        m_batch.content.texts.push_back(std::move(m_pending.front().text));
        m_pending.pop_front();
    }
    if (m_segments.size() >= m_settings->merge_segments_above && m_batch.new_bytes < m_settings->segment_limit) {
        merge_small(m_settings->segment_limit - m_batch.new_bytes);
    }
    m_batch.content.key = "history/" + std::to_string(m_partition) + "/" + std::to_string(epoch) + "-" +
                          std::to_string(m_batch.sequences.back());
    m_write.emplace(m_batch.content.key, encode_segment(m_batch.content.texts), *m_outbox, *m_settings);
    m_written = false;
    m_last_start = now;
}

void segment_set::merge_small(std::size_t room)
{
    std::vector<const segment*> order;
    std::ranges::transform(m_segments, std::back_inserter(order), [](const segment& it) { return &it; });
    std::ranges::stable_sort(order, {}, [](const segment* it) { return total_bytes(it->texts); });
    for (const segment* it : order) {
        const std::size_t bytes = total_bytes(it->texts);
        if (bytes > room) {
            return;
        }
        room -= bytes;
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
    const timestamp aged = m_pending.front().added + m_settings->lazy_delay;
    return m_last_start ? std::max(aged, *m_last_start + m_settings->segment_interval) : aged;
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
