#pragma once

#include "journal/head_record.h"
#include "journal/kv_channel.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonferry {

enum class head_event {
    none,
    loaded,    ///< `record` is what the key-value service holds
    committed, ///< `record` is our write, which took effect
    retry,     ///< no write of ours is known to have taken effect; write again
    replaced,  ///< `record` is the write of another instance
};

/// The compare-and-swap chain of one head record: one write at a time, each attempt with its own write id. After a lost
/// reply or a conflict the record is read back. A write that looked lost may still take effect later, so every attempt
/// on the present version stays known until that version is replaced. One thread at a time.
class head_store {
public:
    /// `writer` is unique for each object.
    head_store(std::uint32_t partition, std::string writer, kv_outbox& outbox, const journal_settings& settings);

    /// Asks for the record, and forgets a write without result.
    void load();

    /// Asks to replace the record. Sets the write id. Precondition: `idle()`.
    void write(head_record next);

    /// Returns whether neither a read nor a write is asked for or in flight.
    bool idle() const { return m_step == step::idle; }

    /// Sends what is due.
    head_event poll(timestamp now);

    head_event handle(const kv_reply& reply, timestamp now);

    /// Precondition: not idle.
    timestamp next_wake() const { return m_channel.next_wake(); }

    /// The record as last known, with its version; epoch 0 and version 0 for an absent key.
    const head_record& record() const { return m_record; }

    /// When the present write, or the first of its failed attempts in a row, was sent.
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
    head_event resolve(head_record present, std::uint64_t version);
    void settle(head_record record, std::uint64_t version);

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
    std::vector<attempt> m_attempts; ///< all on `m_version`; the last one is in flight during `step::write`
};

} // namespace lagoonferry
