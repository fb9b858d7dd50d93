#pragma once

#include "journal/kv_channel.h"
#include "journal/stored_text.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lagoonferry {

enum class segment_read_status {
    ok,
    failed, ///< no usable reply: the key-value service is down or slow
    absent, ///< the key does not exist or is not a segment
};

/// The result of reading one segment back. Its digests are not verified.
struct segment_read {
    std::string key;
    segment_read_status result = segment_read_status::failed;
    std::vector<text_ref> texts;
};

/// Reads segments back for an owner, one at a time. A failed read is not retried here; the owner decides about that.
/// One thread at a time.
class segment_reader {
public:
    segment_reader(kv_outbox& outbox, const journal_settings& settings) : m_channel(outbox, settings) {}

    /// Returns whether a read may start now.
    bool ready(timestamp now) const { return !m_result && m_channel.ready(now); }

    /// Starts reading a segment. Precondition: `ready(now)`.
    void read(const std::string& key, timestamp now);

    /// Handles the reply to the read in flight; ignores all others.
    void handle(const kv_reply& reply, timestamp now);

    void poll(timestamp now);

    /// Returns the result of a finished read once.
    std::optional<segment_read> take() { return std::exchange(m_result, std::nullopt); }

    /// Returns whether the backoff after a failed read has not passed yet, or the read in flight is slow.
    bool failing(timestamp now) const;

    std::optional<timestamp> next_wake() const
    {
        return m_channel.in_flight() ? std::optional{m_channel.next_wake()} : std::nullopt;
    }

private:
    kv_channel m_channel;
    std::string m_key;
    timestamp m_started{0};
    std::optional<segment_read> m_result;
};

} // namespace lagoonferry
