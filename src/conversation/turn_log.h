#pragma once

#include "conversation/turn_record.h"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <set>
#include <string>

namespace lagoonferry {

/// Turns on disk: append-only segment files of checksummed records. Each start begins a new segment, so nothing is ever
/// written after a torn record. Calls block on the disk. Not thread-safe.
class turn_log {
public:
    /// Called for each readable record of an earlier run with the number of its segment.
    using visitor = std::function<void(std::uint64_t segment, const turn_record& record)>;

    /// `folder` is created if it does not exist.
    explicit turn_log(std::filesystem::path folder);
    turn_log(const turn_log&) = delete;
    turn_log& operator=(const turn_log&) = delete;
    ~turn_log();

    /// Reads the segments of earlier runs in order. A segment is read up to its first torn or damaged record. Returns
    /// the number of such segments. Call once, before any other operation.
    std::size_t load(const visitor& visit);

    /// Returns whether the folder was not used before, so that turns of an earlier run may have been lost with a disk.
    bool is_new() const { return m_is_new; }

    /// Adds a record to the next `sync`. Returns the number of its segment.
    std::uint64_t append(const turn_record& record);

    /// Writes the appended records and waits until they are on disk. If it fails, none of them counts as stored, and
    /// false is returned after the reason was logged.
    bool sync();

    /// Deletes the segments that are not in `used`, except the present one.
    void remove_unused(const std::set<std::uint64_t>& used);

private:
    void mark_folder();
    bool open_segment();
    bool write_pending();
    void close_segment();
    std::filesystem::path path_of(std::uint64_t segment) const;

    std::filesystem::path m_folder;
    bool m_is_new = true;
    std::set<std::uint64_t> m_segments; ///< files that exist
    std::uint64_t m_segment = 1;        ///< present segment
    int m_file = -1;                    ///< file of the present segment, or -1 before its first record
    std::uint64_t m_size = 0;           ///< bytes of the present segment that are on disk
    std::string m_pending;
};

} // namespace lagoonferry
