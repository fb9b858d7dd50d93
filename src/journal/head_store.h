#pragma once

#include "journal/head_record.h"
#include "journal/kv_channel.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonferry {

/// Result of one step of a `head_store`.
enum class head_event {
    none,
    loaded,    ///< `record` is the stored record
    committed, ///< the write of this object took effect and is now `record`
    retry,     ///< no write of this object is known to have taken effect; write again
    replaced,  ///< another instance replaced the record; `record` is its write
};

/// Reads one head record and replaces it by compare-and-swap. One write is in flight at a time, and each attempt has
/// its own write id. After a lost reply or a conflict the record is read back. A write that seemed lost may still take
/// effect later, so every attempt on the current version is remembered until that version is replaced. One thread at a
/// time.
class head_store {
public:
    /// `writer` is unique for each object; it is the prefix of the write ids.
    head_store(std::uint32_t partition, std::string writer, kv_outbox& outbox, const journal_settings& settings);

    /// Starts reading the record. A write without a result is dropped.
    void load();

    /// Starts replacing the record by `next`, and sets its write id. Precondition: `idle()`.
    void write(head_record next);

    /// Returns whether neither a read nor a write is pending or in flight.
    bool idle() const { return m_step == step::idle; }

    /// Sends the call that is due and handles its timeout.
    head_event poll(timestamp now);

    head_event handle(const kv_reply& reply, timestamp now);

    /// Precondition: not idle.
    timestamp next_wake() const { return m_channel.next_wake(); }

    /// The last known record. An absent key is a record with epoch 0.
    const head_record& record() const { return m_record; }

    /// When the current write was sent, or the first of its consecutive failed attempts.
    timestamp write_started() const { return m_write_started; }

private:
    enum class step { idle, load, write, read_back };

    struct attempt {
        std::string write_id;
        head_record record;
    };

    void send(timestamp now);
    head_event on_read(const kv_reply& reply);
    head_event on_write(const kv_reply& reply);
    head_event resolve(head_record current, std::uint64_t version);
    void set_record(head_record record, std::uint64_t version);

    std::uint32_t m_partition;
    std::string m_writer;
    const journal_settings* m_settings;
    kv_channel m_channel;
    step m_step = step::idle;
    head_record m_record;
    std::uint64_t m_version = 0;
    std::uint64_t m_last_attempt = 0;
    std::uint32_t m_failures = 0;
    timestamp m_write_started{0};
    std::vector<attempt> m_attempts; ///< all replace `m_version`; the last one is in flight during `step::write`
};

} // namespace lagoonferry
