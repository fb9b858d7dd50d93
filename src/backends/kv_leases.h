#pragma once

#include "backends/kv_store.h"
#include "util/failure.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonferry {

/// Leases of the key-value service: the service erases the keys of a lease that expires. An implementation may be used
/// by one thread at a time.
class kv_leases {
public:
    kv_leases() = default;
    kv_leases(const kv_leases&) = delete;
    kv_leases& operator=(const kv_leases&) = delete;
    virtual ~kv_leases() = default;

    /// Creates a lease and returns its identifier, or nothing. If the response is lost, the lease expires unused.
    virtual std::optional<std::string> grant(std::chrono::milliseconds time_to_live) = 0;

    /// Restarts the lease's time to live. `conflict` means that the lease no longer exists.
    virtual kv_status renew(std::string_view lease) = 0;

    /// Ends the lease and erases its keys. `conflict` means that the lease no longer exists.
    virtual kv_status revoke(std::string_view lease) = 0;

    /// Writes like `kv_store::compare_and_swap` and binds the key to `lease`. A lease that no longer exists yields
    /// `conflict` with the key's present version.
    virtual kv_write compare_and_swap(std::string_view key, std::uint64_t expected, std::string_view value,
                                      std::string_view lease) = 0;

    /// Why the last call did not succeed.
    virtual const failure& last_failure() const = 0;
};

} // namespace lagoonferry
