#pragma once

#include "document/document_record.h"
#include "document/document_version.h"
#include "document/service_document.h"
#include "util/failure.h"
#include "util/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// A document in force. Immutable, so that it can be shared with other threads.
struct document_in_force {
    document_record record;
    service_document document;
};

/// A fetch of a document body. An empty `peer` means the key-value service.
struct document_fetch {
    std::string peer;
    std::string service;
    std::uint64_t version = 0; ///< lowest version that the response may have

    bool operator==(const document_fetch&) const = default;
};

/// The documents in force in one process. Decides which versions to fetch and from which peers, never replaces a
/// version by an earlier one, and tracks whether the process is ready to serve. Not thread-safe.
class document_table {
public:
    /// Records that `peer` has these versions, as its heartbeat says.
    void learn(std::string_view peer, std::span<const document_version> versions);

    /// Merges a complete list of versions from a peer or, with an empty `peer`, from the key-value service. The process
    /// becomes ready when it has all of them. Precondition: the peer was ready itself.
    void merge_version_list(std::string_view peer, std::span<const document_version> versions);

    /// Puts a record in force if its body is valid and its version is higher than the current one and not lower than
    /// the highest known one. Returns whether it did; otherwise last_failure() has the reason.
    bool install(document_record record);

    /// Returns the fetches to start now and records them as started. At most one fetch per service is in flight. After
    /// a failure or a timeout the next fetch goes to another peer, and after all peers to the key-value service.
    std::vector<document_fetch> start_fetches(timestamp now);

    /// Ends a fetch without a usable record.
    void fetch_failed(const document_fetch& fetch, timestamp now);

    /// Returns up to `limit` versions for the next heartbeat: recent changes first, then others in round-robin order
    /// until there are `min_count` versions.
    std::vector<document_version> next_heartbeat(std::size_t limit, std::size_t min_count);
    std::vector<document_version> next_heartbeat(std::size_t limit) { return next_heartbeat(limit, limit); }

    /// Returns the document in force, or null.
    std::shared_ptr<const document_in_force> find(std::string_view service) const;

    /// Returns all documents in force, ordered by service.
    std::vector<std::shared_ptr<const document_in_force>> all() const;

    /// Returns the versions in force, ordered by service.
    std::vector<document_version> versions() const;

    /// Returns whether a complete list was received and all versions of the received lists, or later ones, are in
    /// force.
    bool ready() const;

    const failure& last_failure() const { return m_failure; }

private:
    struct entry {
        std::shared_ptr<const document_in_force> in_force;
        std::uint64_t highest_known = 0;
        std::vector<std::string> sources; ///< peers that have the highest version
        std::optional<document_fetch> fetch;
        timestamp fetch_started{};
        timestamp retry_at{};
        std::size_t failed_fetches = 0;
        std::size_t announcements_left = 0;
    };

    void note_version(std::string_view peer, const document_version& known);
    static std::uint64_t version_of(const entry& item);
    static bool needs_fetch(entry& item, timestamp now);
    static document_fetch start_fetch(const std::string& service, entry& item, timestamp now);
    static void end_fetch(entry& item, timestamp now);
    std::size_t fetches_in_flight() const;
    std::vector<std::string> recent_changes(std::size_t limit);
    bool reject(result_code code, std::string text);

    std::map<std::string, entry, std::less<>> m_entries;
    std::map<std::string, std::uint64_t> m_required;
    bool m_list_received = false;
    std::string m_last_announced;
    failure m_failure;
};

} // namespace lagoonferry
