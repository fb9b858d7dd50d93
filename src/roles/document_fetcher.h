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

/// Where documents come from.
struct document_sources {
    std::string platform;  ///< address of the key-value service
    std::string self;      ///< id of this process
    std::string rpc_token; ///< of the cluster key
};

/// Reads documents from the key-value service and from peers. One thread at a time; blocks for its calls.
class document_reader {
public:
    /// `shared` and `counts` outlive this object.
    document_reader(document_sources sources, const board* shared, call_counts* counts);
    ~document_reader();
    document_reader(const document_reader&) = delete;
    document_reader& operator=(const document_reader&) = delete;

    /// Fetches one document, or nothing if the source does not have it or does not answer.
    std::optional<document_record> fetch(const document_fetch& request);

    /// Reads the newest record of a service from the key-value service.
    std::optional<document_record> read(const std::string& service);

    /// Returns the versions of all documents from the key-value service, or else from the first peer that answers.
    /// `source` receives the peer's id, empty for the key-value service.
    std::optional<std::vector<document_version>> list(std::string& source);

private:
    std::optional<std::vector<document_version>> list_platform();
    std::optional<std::vector<document_version>> list_peer(const member& peer) const;
    std::optional<document_record> fetch_from(const std::string& peer, const std::string& service) const;

    document_sources m_sources;
    const board* m_board;
    std::unique_ptr<kv_store> m_store;
};

/// The key prefix of the newest versions.
inline constexpr std::string_view document_prefix = "document/";

struct document_fetcher_state {
    std::unique_ptr<document_reader> reader;
};

/// Answers `document_fetch` with `document_fetch_result` and `list_documents` with `document_list_result`. It blocks,
/// so it needs a thread of its own.
caf::behavior document_fetcher(caf::stateful_actor<document_fetcher_state>* self, const document_sources& sources,
                               const board* shared, call_counts* counts);

struct document_watcher_state {
    std::unique_ptr<document_reader> reader;
    std::unique_ptr<kv_watch> watch;
    std::uint64_t position = 0;
};

/// Watches the documents in the key-value service if this process has the duty, and sends new ones to `documents`.
/// It blocks, so it needs a thread of its own.
caf::behavior document_watcher(caf::stateful_actor<document_watcher_state>* self, const document_sources& sources,
                               const caf::actor& documents, const board* shared, call_counts* counts);

} // namespace lagoonferry
