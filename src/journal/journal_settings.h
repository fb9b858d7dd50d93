#pragma once

#include "util/time.h"

#include <cstddef>

namespace lagoonferry {

/// Times and sizes of one partition's chain of writes.
struct journal_settings {
    timestamp lazy_delay{std::chrono::seconds{1}};             ///< lazy entries wait this long for others
    timestamp segment_interval{std::chrono::seconds{2}};       ///< shortest time between two history segments
    timestamp min_retry_delay{std::chrono::milliseconds{100}}; ///< doubles with each failure
    timestamp max_retry_delay{std::chrono::seconds{1}};
    timestamp reply_timeout{std::chrono::seconds{10}};        ///< a call without reply counts as `kv_status::unknown`
    std::size_t max_tail_bytes = std::size_t{4} * 1024;       ///< a longer tail is replaced by a snapshot
    std::size_t max_head_bytes = std::size_t{256} * 1024;     ///< entries in one head; more wait for a snapshot
    std::size_t max_segment_bytes = std::size_t{512} * 1024;  ///< text in one history segment
    std::size_t min_evictable_bytes = std::size_t{64} * 1024; ///< smaller segments stay in memory until they are merged
    std::size_t min_segments_to_merge = 16;                   ///< smaller segments are merged from this number on
    bool read_back = true; ///< false only in tests: a lost reply is then taken for a failed write
};

} // namespace lagoonferry
