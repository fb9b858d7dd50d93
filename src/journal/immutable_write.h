#pragma once

#include "journal/kv_channel.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lagoonferry {

/// Creates one key that no other object writes. Retries the call until the key is known to exist.
/// One thread at a time.
class immutable_write {
public:
    immutable_write(std::string key, std::string value, kv_outbox& outbox, const journal_settings& settings);

    /// Sends the call when it is due and handles its timeout.
    void poll(timestamp now);

    void handle(const kv_reply& reply, timestamp now);

    /// The version of the key once it is known to exist.
    std::optional<std::uint64_t> version() const { return m_version; }

    const std::string& key() const { return m_key; }

    timestamp next_wake() const { return m_channel.next_wake(); }

private:
    std::string m_key;
    std::string m_value;
    kv_channel m_channel;
    std::optional<std::uint64_t> m_version;
};

} // namespace lagoonferry
