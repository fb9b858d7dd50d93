#include "roles/document_controller.h"

#include "blackboard/board.h"
#include "membership/heartbeat.h"
#include "util/log.h"

#include <caf/event_based_actor.hpp>

namespace lagoonferry {

namespace {

constexpr std::chrono::milliseconds tick_interval{250};

// The fetcher tries the key-value service and then each peer, with a timeout for each call.
constexpr std::chrono::seconds fetch_timeout{60};

} // namespace

void document_controller_state::start(caf::event_based_actor* self, caf::actor fetcher, board* shared)
{
    m_self = self;
    m_fetcher = std::move(fetcher);
    m_board = shared;
    self->send(self, tick_atom::value);
}

void document_controller_state::on_tick()
{
    if (!m_table.ready() && !m_list_requested) {
        request_list();
    }
    for (const document_fetch& request : m_table.start_fetches(steady_now())) {
        fetch(request);
    }
    m_board->announced_documents.write(m_table.next_heartbeat(max_heartbeat_documents, round_robin_documents));
    publish();
    m_self->delayed_send(m_self, tick_interval, tick_atom::value);
}

void document_controller_state::request_list()
{
    m_list_requested = true;
    m_self->request(m_fetcher, fetch_timeout, list_documents{})
        .then(
            [this](const document_list_result& result) {
                m_list_requested = false;
                if (result.versions) {
                    m_table.merge_version_list(result.source, *result.versions);
                }
            },
            [this](const caf::error&) { m_list_requested = false; });
}

void document_controller_state::fetch(const document_fetch& request)
{
    m_self->request(m_fetcher, fetch_timeout, request)
        .then(
            [this](const document_fetch_result& result) {
                if (result.record) {
                    on_record(*result.record);
                }
                else {
                    m_table.fetch_failed(result.request, steady_now());
                }
            },
            [this, request](const caf::error&) { m_table.fetch_failed(request, steady_now()); });
}

void document_controller_state::on_announcement(const document_announcement& message)
{
    m_table.learn(message.peer, message.versions);
    for (const document_fetch& request : m_table.start_fetches(steady_now())) {
        fetch(request);
    }
}

void document_controller_state::on_record(const document_record& record)
{
    if (m_table.install(record)) {
        log(log_part::document, log_level::info, "Document is in force.", field("service", record.service),
            field("version", record.version), field("author", record.author));
        m_board->announced_documents.write(m_table.next_heartbeat(max_heartbeat_documents, round_robin_documents));
        publish();
    }
}

void document_controller_state::publish()
{
    document_view view;
    view.ready = m_table.ready();
    for (const auto& item : m_table.all()) {
        view.services[item->record.service] = item;
        for (const account& known : item->document.accounts) {
            view.accounts_by_digest[known.key_digest].push_back({item->record.service, known.name});
        }
    }
    m_board->documents.write(std::move(view));
}

caf::behavior document_controller(caf::stateful_actor<document_controller_state>* self, const caf::actor& fetcher,
                                  board* shared)
{
    self->state.start(self, fetcher, shared);
    return {
        [self](tick_atom) { self->state.on_tick(); },
        [self](const document_announcement& message) { self->state.on_announcement(message); },
        [self](const document_update& message) { self->state.on_record(message.record); },
    };
}

} // namespace lagoonferry
