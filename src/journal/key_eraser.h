#pragma once

#include "journal/kv_channel.h"
#include "util/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace lagoonferry {

/// Erases keys that the head record no longer names, one at a time, in the background. After a takeover it also sweeps
/// the keys that earlier owners wrote and no head record names. A key that could not be erased is left to the sweep
/// after the next takeover. One thread at a time.
class key_eraser {
public:
    key_eraser(kv_outbox& outbox, const journal_settings& settings);

    /// Adds a key to erase. Its version is read first if it is unknown (0).
    void erase(std::string key, std::uint64_t version);

    /// Lists the keys that begin with `prefix` and erases those for which `unused` returns true.
    void sweep(std::string prefix, std::function<bool(const std::string&)> unused);

    /// Drops all jobs.
    void clear();

    void poll(timestamp now);
    void handle(const kv_reply& reply, timestamp now);

    /// When the next call is due or times out, if there is any job.
    std::optional<timestamp> next_wake() const;

private:
    struct job {
        std::string key;
        std::uint64_t version = 0;
        std::function<bool(const std::string&)> unused; ///< set for a sweep of the prefix `key`
        std::uint32_t failures = 0;
    };

    void finish_job(const kv_reply& reply);
    void count_failure();

    kv_channel m_channel;
    std::deque<job> m_jobs; ///< the first one is in progress
};

} // namespace lagoonferry
