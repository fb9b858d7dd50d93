#pragma once

#include "journal/journal_settings.h"
#include "journal/kv_outbox.h"
#include "util/time.h"

#include <cstdint>
#include <optional>

namespace lagoonferry {

/// Sends one key-value call at a time, with exponential backoff after failures. A call without a reply counts as
/// `kv_status::unknown` after the reply timeout; a late reply is ignored. One thread at a time.
class kv_channel {
public:
    kv_channel(kv_outbox& outbox, const journal_settings& settings);

    /// Returns whether a call may be sent now.
    bool ready(timestamp now) const { return m_request == 0 && now >= m_not_before; }

    /// Sends a call. Precondition: `ready(now)`.
    void send(kv_call call, timestamp now);

    /// Returns whether this is the reply to the call in flight, and finishes that call if so.
    bool accept(const kv_reply& reply, timestamp now);

    /// Returns true once if the call in flight got no reply in time, and finishes it.
    bool timed_out(timestamp now);

    /// Drops the call in flight; its reply will be ignored.
    void cancel() { m_request = 0; }

    /// Delays the next call as after a failure. Precondition: no call is in flight.
    void back_off(timestamp now) { finish(true, now); }

    /// When the call in flight times out or, without one, when the next call may be sent (possibly in the past).
    timestamp next_wake() const;

    bool in_flight() const { return m_request != 0; }

private:
    void finish(bool failed, timestamp now);

    kv_outbox* m_outbox;
    const journal_settings* m_settings;
    std::uint64_t m_request = 0;
    std::uint32_t m_failures = 0;
    timestamp m_sent{0};
    timestamp m_not_before{0};
};

} // namespace lagoonferry
