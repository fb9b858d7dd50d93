#pragma once

#include "util/time.h"

#include <cstddef>

namespace lagoonferry {

/// Delays and size limits of one partition's journal.
struct journal_settings {
    timestamp lazy_delay{std::chrono::seconds{1}};             ///< how long lazy entries wait, to share a write
    timestamp segment_interval{std::chrono::seconds{2}};       ///< minimum time between two history segments
    timestamp min_retry_delay{std::chrono::milliseconds{100}}; ///< doubled by each further failure
    timestamp max_retry_delay{std::chrono::seconds{1}};
    timestamp reply_timeout{std::chrono::seconds{10}};        ///< a call without reply counts as `kv_status::unknown`
    std::size_t max_tail_bytes = std::size_t{4} * 1024;       ///< a longer tail is replaced by a snapshot
    std::size_t max_head_bytes = std::size_t{256} * 1024;     ///< entries in one head; more wait for a snapshot
    std::size_t max_segment_bytes = std::size_t{512} * 1024;  ///< texts in one history segment
    std::size_t min_evictable_bytes = std::size_t{64} * 1024; ///< smaller segments stay in memory until merged
    std::size_t min_segments_to_merge = 16;                   ///< from this number on, small segments are merged
    bool read_back = true;                                    ///< tests only: if false, a lost reply is a failed write
};

} // namespace lagoonferry
