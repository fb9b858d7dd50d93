#include "roles/document_fetcher.h"

#include "backends/http_kv_store.h"
#include "backends/http_kv_watch.h"
#include "blackboard/board.h"
#include "membership/delegated_task.h"
#include "peer/rpc_client.h"
#include "util/log.h"

#include <caf/event_based_actor.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace lagoonferry {

namespace {

constexpr std::chrono::milliseconds call_timeout{1000};
constexpr std::chrono::milliseconds watch_timeout{2000};
constexpr std::chrono::milliseconds idle_interval{1000};

std::vector<member> processes(const board& shared)
{
    const auto members = shared.members.read();
    std::vector<member> all = members->entries;
    all.insert(all.end(), members->dispatchers.begin(), members->dispatchers.end());
    return all;
}

network_address rpc_address(const member& item)
{
    return {item.address.ip, item.address.rpc_port};
}

} // namespace

document_reader::document_reader(document_sources sources, const board* shared, call_counts* counts)
    : m_sources(std::move(sources)), m_board(shared),
      m_store(std::make_unique<http_kv_store>(m_sources.platform, call_timeout, *counts))
{
}

document_reader::~document_reader() = default;

std::optional<document_record> document_reader::fetch(const document_fetch& request)
{
    const auto found = request.peer.empty() ? read(request.service) : fetch_from(request.peer, request.service);
    return found && found->version >= request.version ? found : std::nullopt;
}

std::optional<document_record> document_reader::read(const std::string& service)
{
    const kv_read result = m_store->get(document_key(service));
    if (result.status != kv_status::ok || result.entry.version == 0) {
        return std::nullopt;
    }
    return parse_record(result.entry.value);
}

std::optional<document_record> document_reader::fetch_from(const std::string& peer, const std::string& service) const
{
    const auto members = m_board->members.read();
    const member* known = members->find(peer);
    if (known == nullptr) {
        return std::nullopt;
    }
    rpc_client client(rpc_address(*known), m_sources.rpc_token, call_timeout);
    const auto result = client.call("document", {{"service", service}});
    return result && result->contains("record") ? parse_record(result->at("record").get<std::string>()) : std::nullopt;
}

std::optional<std::vector<document_version>> document_reader::list(std::string& source)
{
    source.clear();
    if (auto versions = list_platform()) {
        return versions;
    }
    for (const member& peer : processes(*m_board)) {
        if (peer.id == m_sources.self) {
            continue;
        }
        if (auto versions = list_peer(peer)) {
            source = peer.id;
            return versions;
        }
    }
    return std::nullopt;
}

std::optional<std::vector<document_version>> document_reader::list_platform()
{
    const auto keys = m_store->list(document_prefix);
    if (!keys) {
        return std::nullopt;
    }
    std::vector<document_version> versions;
    for (const std::string& key : *keys) {
        const auto record = read(key.substr(document_prefix.size()));
        if (!record) {
            return std::nullopt;
        }
        versions.push_back({record->service, record->version});
    }
    return versions;
}

std::optional<std::vector<document_version>> document_reader::list_peer(const member& peer) const
{
    rpc_client client(rpc_address(peer), m_sources.rpc_token, call_timeout);
    const auto result = client.call("documents", nlohmann::json::object());
    if (!result || !result->value("ready", false)) {
        return std::nullopt;
    }
    std::vector<document_version> versions;
    for (const auto& [service, version] : result->at("versions").items()) {
        versions.push_back({service, version.get<std::uint64_t>()});
    }
    return versions;
}

caf::behavior document_fetcher(caf::stateful_actor<document_fetcher_state>* self, const document_sources& sources,
                               const board* shared, call_counts* counts)
{
    self->state.reader = std::make_unique<document_reader>(sources, shared, counts);
    return {
        [self](const document_fetch& request) {
            return document_fetch_result{request, self->state.reader->fetch(request)};
        },
        [self](list_documents) {
            document_list_result result;
            result.versions = self->state.reader->list(result.source);
            return result;
        },
    };
}

caf::behavior document_watcher(caf::stateful_actor<document_watcher_state>* self, const document_sources& sources,
                               const caf::actor& documents, const board* shared, call_counts* counts)
{
    self->state.reader = std::make_unique<document_reader>(sources, shared, counts);
    self->state.watch = std::make_unique<http_kv_watch>(sources.platform, call_timeout, *counts);
    self->send(self, tick_atom::value);
    return {[=](tick_atom) {
        document_watcher_state& state = self->state;
        std::chrono::milliseconds pause = idle_interval;
        if (is_delegate(delegated_task::watch_documents, processes(*shared), sources.self)) {
            if (const auto changes = state.watch->wait(document_prefix, state.position, watch_timeout)) {
                state.position = changes->position;
                pause = std::chrono::milliseconds(0);
                for (const kv_change& change : changes->changes) {
                    if (const auto record = state.reader->read(change.key.substr(document_prefix.size()))) {
                        self->send(documents, document_update{*record});
                    }
                }
            }
        }
        self->delayed_send(self, pause, tick_atom::value);
    }};
}

} // namespace lagoonferry
