#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// Result of one call to the key-value service.
enum class kv_status {
    ok,
    conflict,    ///< the version differed; nothing was written
    unavailable, ///< the call failed and had no effect
    unknown,     ///< no usable reply: a write may or may not have taken effect
};

/// A value and the version of its last write. Version 0 means that the key is absent.
struct kv_entry {
    std::string value;
    std::uint64_t version = 0;
};

/// Result of a read.
struct kv_read {
    kv_status status = kv_status::unavailable;
    kv_entry entry;
};

/// Result of a write. `version` is the version after the write, or the current version after a conflict.
struct kv_write {
    kv_status status = kv_status::unavailable;
    std::uint64_t version = 0;
};

/// The platform's key-value service. Versions come from one counter of the store and are never used twice.
/// An implementation may be used by one thread at a time.
class kv_store {
public:
    kv_store() = default;
    kv_store(const kv_store&) = delete;
    kv_store& operator=(const kv_store&) = delete;
    virtual ~kv_store() = default;

    /// Reads one key.
    virtual kv_read get(std::string_view key) = 0;

    /// Writes `value` if the key has version `expected` (0: if it is absent). Values are at most 1 MB.
    virtual kv_write compare_and_swap(std::string_view key, std::uint64_t expected, std::string_view value) = 0;

    /// Removes the key if it has version `expected`.
    virtual kv_write erase(std::string_view key, std::uint64_t expected) = 0;

    /// Lists the keys that begin with `prefix`, or nothing while the service is unavailable.
    virtual std::optional<std::vector<std::string>> list(std::string_view prefix) = 0;
};

} // namespace lagoonferry
