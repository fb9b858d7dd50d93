#pragma once

#include "backends/kv_store.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonferry {

enum class kv_operation { get, compare_and_swap, erase, list };

/// A call to the key-value service that another component makes. The fields are the parameters of `kv_store`.
struct kv_call {
    std::uint64_t request = 0; ///< unique within the calling object; the reply carries the same number
    kv_operation operation = kv_operation::get;
    std::string key;            ///< the prefix for `list`
    std::uint64_t expected = 0; ///< version, for `compare_and_swap` and `erase`
    std::string value;          ///< for `compare_and_swap`
};

/// The reply to a `kv_call`. A lost reply is reported as `kv_status::unknown`.
struct kv_reply {
    std::uint64_t request = 0;
    kv_status status = kv_status::unknown;
    std::string value;             ///< for `get`
    std::uint64_t version = 0;     ///< as in `kv_entry` and `kv_write`
    std::vector<std::string> keys; ///< for `list`
};

} // namespace lagoonferry
