#pragma once

#include "backends/kv_store.h"
#include "backends/kv_watch.h"
#include "document/document_table.h"
#include "roles/messages.h"

#include <caf/behavior.hpp>
#include <caf/stateful_actor.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

struct board;
class call_counts;

/// Sources from which documents are read.
struct document_sources {
    std::string platform;  ///< address of the key-value service
    std::string self;      ///< id of this process
    std::string rpc_token; ///< derived from the cluster key
};

/// Reads documents from the key-value service and from peers. Not thread-safe; its functions block.
class document_reader {
public:
    /// `shared` and `counts` must outlive this object.
    document_reader(document_sources sources, const board* shared, call_counts* counts);
    ~document_reader();
    document_reader(const document_reader&) = delete;
    document_reader& operator=(const document_reader&) = delete;

    /// Fetches one document. Returns nothing if the source does not reply, or has neither this version nor a newer one.
    std::optional<document_record> fetch(const document_fetch& request);

    /// Reads the newest record of a service from the key-value service.
    std::optional<document_record> read(const std::string& service);

    /// Returns the versions of all documents from the key-value service, or else from the first peer that replies.
    /// `source` is set to the peer's id, or to an empty string for the key-value service.
    std::optional<std::vector<document_version>> list(std::string& source);

private:
    std::optional<std::vector<document_version>> list_platform();
    std::optional<std::vector<document_version>> list_peer(const member& peer) const;
    std::optional<document_record> fetch_from(const std::string& peer, const std::string& service) const;

    document_sources m_sources;
    const board* m_board;
    std::unique_ptr<kv_store> m_store;
};

/// Prefix of the keys that hold the newest version of each document.
inline constexpr std::string_view document_prefix = "document/";

struct document_fetcher_state {
    std::unique_ptr<document_reader> reader;
};

/// Replies to `document_fetch` with `document_fetch_result` and to `list_documents` with `document_list_result`. It
/// blocks, so it needs a thread of its own.
caf::behavior document_fetcher(caf::stateful_actor<document_fetcher_state>* self, const document_sources& sources,
                               const board* shared, call_counts* counts);

struct document_watcher_state {
    std::unique_ptr<document_reader> reader;
    std::unique_ptr<kv_watch> watch;
    std::uint64_t position = 0;
};

/// Watches the documents in the key-value service and sends new records to `documents`, while this process is a
/// delegate for `delegated_task::watch_documents`. It blocks, so it needs a thread of its own.
caf::behavior document_watcher(caf::stateful_actor<document_watcher_state>* self, const document_sources& sources,
                               const caf::actor& documents, const board* shared, call_counts* counts);

} // namespace lagoonferry
