#pragma once

#include "backends/kv_store.h"
#include "backends/kv_watch.h"
#include "util/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry::standin {

/// The data of the key-value stand-in: keys with versions from one counter, leases, and the latest change of each key.
/// Not thread-safe. Callers pass the current time.
class kv_state {
public:
    /// Returns the entry of a key, with version 0 if the key is absent.
    kv_entry get(std::string_view key) const;

    /// Writes the key if its version is `expected_version` and `lease` is empty or exists.
    kv_write put(std::string_view key, std::uint64_t expected_version, std::string_view value, std::string_view lease);

    /// Removes the key if its version is `expected_version`. Removing an absent key with version 0 succeeds without
    /// effect.
    kv_write erase(std::string_view key, std::uint64_t expected_version);

    std::vector<std::string> list(std::string_view prefix) const;

    /// Returns the latest change of each key that starts with `prefix`, if its version is above `after`, ordered by
    /// version.
    std::vector<kv_change> changes(std::string_view prefix, std::uint64_t after) const;

    /// Returns the version of the latest change.
    std::uint64_t latest_version() const { return m_last_version; }

    std::string grant_lease(timestamp now, timestamp time_to_live);
    bool renew_lease(timestamp now, std::string_view lease);
    bool revoke_lease(std::string_view lease);

    /// Removes the leases that have expired by `now`, and their keys. Returns whether a key was removed.
    bool expire_leases(timestamp now);

    /// Returns the time at which the next lease expires.
    std::optional<timestamp> next_expiry() const;

private:
    struct record {
        std::string value;
        std::uint64_t version = 0;
        std::string lease;
    };
    struct lease_state {
        timestamp time_to_live{};
        timestamp expires{};
    };
    struct change_state {
        std::string key;
        bool erased = false;
    };

    std::uint64_t record_change(const std::string& key, bool erased);
    bool erase_keys_of(std::string_view lease);

    std::uint64_t m_last_version = 0;
    std::uint64_t m_leases_granted = 0;
    std::map<std::string, record, std::less<>> m_records;
    std::map<std::string, lease_state, std::less<>> m_leases;
    std::map<std::uint64_t, change_state> m_changes; ///< latest change of each key, by version
    std::map<std::string, std::uint64_t> m_last_change;
};

} // namespace lagoonferry::standin
