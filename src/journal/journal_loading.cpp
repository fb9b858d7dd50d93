// Loading phase of a takeover: reads the snapshot that the sealed head record names, then the segments.

#include "journal/journal.h"
#include "util/digest.h"

#include <algorithm>
#include <numeric>

namespace lagoonferry {

void journal::start_loading()
{
    m_phase = journal_phase::loading;
    m_epoch = head().epoch;
    m_durable = head().sequence;
    m_last = head().sequence;
    m_next_load = 0;
    update_tail_bytes();
}

void journal::load_next(timestamp now)
{
    m_load_channel.timed_out(now);
    const head_record& sealed = head();
    if (m_next_load == 0 && sealed.snapshot.empty()) {
        m_next_load = 1;
    }
    if (m_next_load > sealed.segments.size()) {
        std::ranges::for_each(sealed.tail, [this](const entry& it) { m_image.apply(it); });
        drop_unused_texts();
        m_phase = journal_phase::recovering;
        return;
    }
    if (m_load_channel.ready(now) && m_head_store.idle()) {
        const std::string& key = m_next_load == 0 ? sealed.snapshot : sealed.segments.at(m_next_load - 1);
        m_load_channel.send({.request = 0, .operation = kv_operation::get, .key = key, .expected = 0, .value = {}},
                            now);
    }
}

void journal::drop_unused_texts()
{
    m_segments.drop([this](const segment_text& it) {
        const program_record* program = m_image.find(it.program);
        return program == nullptr || (program->ended && it.number != 0);
    });
}

void journal::handle_load(const kv_reply& reply, timestamp now)
{
    if (reply.status != kv_status::ok) {
        return;
    }
    if (m_next_load == 0) {
        load_snapshot(reply, now);
    }
    else {
        load_segment(reply);
    }
}

void journal::load_snapshot(const kv_reply& reply, timestamp now)
{
    std::optional<partition_image> image;
    if (reply.version != 0 && digest_hex(reply.value) == head().snapshot_digest) {
        image = partition_image::decode(reply.value);
    }
    if (!image) {
        // Recovery needs the snapshot. The read is retried until it succeeds or another takeover has replaced the head.
        m_load_channel.back_off(now);
        check_still_sealed();
        return;
    }
    m_image = std::move(*image);
    m_current_snapshot_key = head().snapshot;
    m_current_snapshot_version = reply.version;
    m_next_load = 1;
}

void journal::load_segment(const kv_reply& reply)
{
    std::optional<std::vector<text_ref>> texts;
    if (reply.version != 0) {
        texts = decode_segment(reply.value);
    }
    const std::string& key = head().segments.at(m_next_load - 1);
    if (texts) {
        keep_segment(key, reply.version, std::move(*texts));
    }
    else {
        // Programs with missing texts become unavailable, unless another takeover has replaced the head.
        check_still_sealed();
    }
    ++m_next_load;
}

void journal::keep_segment(const std::string& key, std::uint64_t version, std::vector<text_ref> texts)
{
    const std::size_t bytes =
        std::accumulate(texts.begin(), texts.end(), std::size_t{0},
                        [](std::size_t sum, const text_ref& it) { return sum + text_bytes(*it); });
    const bool keep = bytes < m_settings->min_evictable_bytes || !m_keep_texts || m_keep_texts(bytes);
    std::vector<segment_text> segment_texts;
    for (text_ref& it : texts) {
        text_summary summary = summarize(std::move(it));
        if (!keep && summary.number != 0) {
            summary.text.reset();
        }
        segment_texts.push_back({summary.program, summary.number, summary.bytes, summary.text});
        m_loaded_texts.push_back(std::move(summary));
    }
    m_segments.add_loaded(key, version, std::move(segment_texts));
}

void journal::check_still_sealed()
{
    if (m_head_store.idle()) {
        m_head_store.load();
    }
}

} // namespace lagoonferry
