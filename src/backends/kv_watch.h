#pragma once

#include "util/failure.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// The latest change of one key. For an erased key, `version` is the version of the removal.
struct kv_change {
    std::string key;
    std::uint64_t version = 0;
    bool erased = false;
};

/// Changes in the order of their versions. `position` is passed as `after` to the next wait.
struct kv_changes {
    std::uint64_t position = 0;
    std::vector<kv_change> changes;
};

/// Long-poll watch on a key prefix. An implementation may be used by one thread at a time.
class kv_watch {
public:
    kv_watch() = default;
    kv_watch(const kv_watch&) = delete;
    kv_watch& operator=(const kv_watch&) = delete;
    virtual ~kv_watch() = default;

    /// Waits until a key that begins with `prefix` has changed after `after` (0: since the beginning), or until
    /// `timeout` has passed, which yields an empty list. Returns nothing if the service is unavailable. Only the latest
    /// change of each key is reported.
    virtual std::optional<kv_changes> wait(std::string_view prefix, std::uint64_t after,
                                           std::chrono::milliseconds timeout) = 0;

    /// Why the last call returned nothing.
    virtual const failure& last_failure() const = 0;
};

} // namespace lagoonferry
