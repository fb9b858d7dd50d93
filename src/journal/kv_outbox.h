#pragma once

#include "journal/kv_call.h"

#include <string>
#include <utility>
#include <vector>

namespace lagoonferry {

/// Collects the key-value calls of one object until they are taken, and assigns their request numbers. One thread at a
/// time.
class kv_outbox {
public:
    /// Adds a call and returns its request number.
    std::uint64_t add(kv_call call);

    std::vector<kv_call> take() { return std::exchange(m_calls, {}); }

private:
    std::uint64_t m_last_request = 0;
    std::vector<kv_call> m_calls;
};

} // namespace lagoonferry
