#include "program/owner_core.h"

#include <algorithm>
#include <tuple>

namespace lagoonferry {

namespace {

/// Maximum number of rounds of one `run_until_stable`. Each round can append entries that the next round sends. A
/// takeover of an empty partition needs three; the limit only prevents an endless loop.
constexpr int max_rounds = 16;

/// Clean-ups in each retention time.
constexpr int clean_up_fraction = 8;

} // namespace

partition_owner::core::core(owner_settings settings)
    : m_settings(std::move(settings)),
      m_journal(m_settings.partition, m_settings.self, m_settings.incarnation, m_settings.writer, m_settings.journal),
      m_backups(m_settings),
      m_memory(m_settings.memory ? m_settings.memory : std::make_shared<history_memory>(m_settings.max_history_bytes))
{
}

partition_owner::core::~core()
{
    count_bytes(0);
}

std::vector<action> partition_owner::core::handle(const event& input, timestamp now)
{
    m_now = std::max(m_now, now);
    std::visit([this](const auto& it) { on(it); }, input);
    run_until_stable();
    return std::exchange(m_actions, {});
}

std::vector<backup_ref> partition_owner::core::backups() const
{
    const bool owned = m_phase == owner_phase::ready || m_phase == owner_phase::handing_over;
    return owned ? m_journal.head().backups : std::vector<backup_ref>{};
}

std::optional<timestamp> partition_owner::core::next_wake() const
{
    earliest_wakeup wakes(m_now);
    m_journal.add_wakes(wakes);
    m_backups.add_wakes(m_journal, wakes);
    if (m_recovery) {
        m_recovery->add_wakes(wakes);
    }
    for (const auto& [id, call] : m_calls) {
        wakes.add(call.step == call_step::running ? call.deadline : call.step_deadline);
        wakes.add(call.not_before);
    }
    for (const pending_reply& it : m_pending_replies) {
        wakes.add(it.deadline);
    }
    for (const waiting_turn& it : m_waiting_turns) {
        wakes.add(it.deadline);
    }
    if (m_history_bytes > 0 && m_settings.memory) {
        // Other partitions of the process may need the memory.
        wakes.add(m_next_eviction);
    }
    wakes.add(m_phase == owner_phase::idle ? std::nullopt : std::optional{m_next_clean_up});
    return wakes.earliest();
}

void partition_owner::core::on(const kv_reply& it)
{
    m_journal.handle(it, m_now);
}

void partition_owner::core::on(const replicate_reply& it)
{
    if (it.partition == m_settings.partition && !m_backups.handle(it, m_now)) {
        m_journal.stop();
    }
}

void partition_owner::core::on(const fetch_reply& it)
{
    if (it.partition == m_settings.partition && m_recovery && !m_recovery->handle(it)) {
        m_journal.stop();
    }
}

void partition_owner::core::on(const membership_changed& it)
{
    m_peers = it.peers;
    m_backups.set_peers(it.peers);
    if (m_recovery) {
        m_recovery->set_peers(m_peers);
    }
}

void partition_owner::core::on(const timer_fired& /*it*/) {}

void partition_owner::core::on(const start_takeover& /*it*/)
{
    if (m_phase == owner_phase::idle) {
        m_phase = owner_phase::taking_over;
        m_journal.start_takeover([this](std::size_t bytes) {
            const bool fits = m_memory->has_headroom(bytes);
            count_bytes(m_history_bytes + (fits ? bytes : 0));
            return fits;
        });
    }
}

void partition_owner::core::on(const start_handover& it)
{
    if (m_phase == owner_phase::ready) {
        m_phase = owner_phase::handing_over;
        m_successor = it.successor;
        m_journal.start_handover(it.successor);
        drop_loads({});
        refuse_waiting({}, {result_code::stopping,
                            execution_state::not_run,
                            "the partition is being handed over",
                            short_retry_after_ms,
                            {}});
    }
}

void partition_owner::core::run_until_stable()
{
    for (int round = 0; round < max_rounds; ++round) {
        const auto before = std::tuple{m_journal.phase(), m_journal.last(), m_journal.durable(), m_stored,
                                       m_calls.size(),    m_phase,          m_actions.size()};
        advance();
        const auto after = std::tuple{m_journal.phase(), m_journal.last(), m_journal.durable(), m_stored,
                                      m_calls.size(),    m_phase,          m_actions.size()};
        if (before == after) {
            return;
        }
    }
}

void partition_owner::core::advance()
{
    m_journal.poll(m_now);
    advance_takeover();
    // Nothing may be appended once the journal has stopped, so a loss of the ownership is handled first and last.
    handle_ownership_loss();
    if (m_phase == owner_phase::ready || m_phase == owner_phase::handing_over) {
        advance_ownership();
    }
    for (kv_call& it : m_journal.take_calls()) {
        emit(std::move(it));
    }
    handle_ownership_loss();
}

void partition_owner::core::advance_ownership()
{
    m_stored = m_backups.stored(m_journal, m_now);
    m_journal.set_replicated_sequence(m_stored);
    advance_loads();
    send_pending_replies();
    advance_calls();
    evict_texts();
    clean_up();
    advance_handover();
    m_backups.poll(m_journal, m_now, m_actions);
    m_journal.poll(m_now);
}

void partition_owner::core::handle_ownership_loss()
{
    if (m_phase == owner_phase::idle) {
        return;
    }
    if (m_journal.phase() == journal_phase::lost) {
        const bool known = m_journal.head().epoch > m_journal.epoch() && m_journal.head().owner != m_settings.self;
        drop_ownership(loss_reason::replaced, known ? std::optional{m_journal.head().owner} : std::nullopt);
    }
    else if (m_journal.phase() == journal_phase::handed_over) {
        m_backups.discard_replicas(m_journal.head().epoch, m_journal.last(), m_actions);
        drop_ownership(loss_reason::handed_over, m_journal.head().owner);
    }
}

void partition_owner::core::advance_takeover()
{
    if (m_phase != owner_phase::taking_over) {
        return;
    }
    if (m_journal.phase() == journal_phase::recovering) {
        if (!m_recovery) {
            m_recovery = std::make_unique<recovery>(m_journal.head(), m_settings);
            if (!m_peers.empty()) {
                m_recovery->set_peers(m_peers);
            }
        }
        m_recovery->poll(m_now, m_actions);
        if (m_recovery->complete(m_now)) {
            finish_takeover();
        }
    }
    if (m_journal.phase() == journal_phase::ready) {
        become_ready();
    }
}

void partition_owner::core::finish_takeover()
{
    recovered_partition recovered = m_recovery->merge(m_journal.image(), m_journal.loaded_texts());
    std::vector<entry> end_entries;
    if (m_recovery->lacks_replica() && !m_settings.faults.continue_without_replica) {
        end_entries = end_incomplete_programs(recovered);
    }
    m_recovery.reset();
    m_counters.digest_mismatches += recovered.digest_mismatches;
    m_counters.unavailable_programs += recovered.unavailable.size();
    restore_programs(recovered);
    m_backups.exclude(m_journal.previous_owner(), m_now + m_settings.previous_owner_exclusion);
    m_journal.finish_takeover(std::move(recovered.items), std::move(end_entries), m_backups.choose({}, m_now), m_now);
    m_journal.poll(m_now);
}

std::vector<entry> partition_owner::core::end_incomplete_programs(recovered_partition& recovered)
{
    // The whole budget counts as spent, because the last high-water mark may be lost as well.
    std::vector<entry> end_entries;
    for (const auto& [id, record] : recovered.image.programs()) {
        if (!record.ended) {
            end_entries.emplace_back(end_entry{id, std::string(incomplete_history_reason), record.opened.limits});
        }
    }
    for (const entry& it : end_entries) {
        recovered.image.apply(it);
    }
    m_counters.unavailable_programs += end_entries.size();
    return end_entries;
}

void partition_owner::core::restore_programs(const recovered_partition& recovered)
{
    m_programs.clear();
    count_bytes(0);
    for (const auto& [id, record] : recovered.image.programs()) {
        program_state& program = m_programs.emplace(id, restore_program(id, record, recovered)).first->second;
        count_texts(program);
    }
}

program_state partition_owner::core::restore_program(const std::string& id, const program_record& record,
                                                     const recovered_partition& recovered) const
{
    program_state program;
    program.opened = record.opened;
    program.recorded_turns = record.turns;
    program.digest = record.digest;
    program.context_tokens = record.context_tokens;
    program.account = budget_account(record.opened.limits, record.opened.high_water_mark_chunks);
    program.account.restore(record.high_water_mark, record.children);
    program.unavailable = recovered.unavailable.contains(id);
    // `recovered` still contains the history of a program that this takeover ends; it is not restored.
    if (const auto history = recovered.histories.find(id); history != recovered.histories.end() && !record.ended) {
        program.turns = history->second;
    }
    if (record.ended) {
        program.ended = end_entry{id, record.reason, record.high_water_mark};
        program.ended_at = m_now;
    }
    for (const auto& item : record.calls) {
        const call_record& call = item.second;
        if (m_settings.faults.ignore_unfinished_intents && !call.finished) {
            continue;
        }
        key_state state{call.call, call.tool, call.arguments_digest, key_status::unknown, call.result, nullptr,
                        0,         m_now};
        // The former owner may have sent a call whose intent has no outcome, so it is never sent again.
        state.status = call.finished && call.known ? key_status::known : key_status::unknown;
        state.status = call.expired ? key_status::expired : state.status;
        if (const auto text = recovered.results.find(call.call); text != recovered.results.end()) {
            state.result_text = text->second;
        }
        if (state.status == key_status::known && !call.result_digest.empty() && !state.result_text) {
            state.status = key_status::expired;
        }
        program.keys.emplace(item.first, std::move(state));
    }
    return program;
}

void partition_owner::core::become_ready()
{
    m_phase = owner_phase::ready;
    m_released = false;
    m_current_owner.reset();
    m_stored = m_journal.durable();
    m_next_clean_up = m_now + m_settings.retention / clean_up_fraction;
    ++m_counters.takeovers;
    m_backups.start(m_journal.epoch(), m_journal.head().backups, m_journal.flushed());
    emit(partition_ready{m_journal.epoch()});
    for (const auto& item : m_programs) {
        if (item.second.ended) {
            emit(release_engine_memory{item.first, item.second.opened.service, {}});
        }
    }
}

void partition_owner::core::advance_handover()
{
    if (m_phase != owner_phase::handing_over || m_journal.phase() != journal_phase::handing_over) {
        return;
    }
    const bool idle =
        m_pending_replies.empty() && std::ranges::all_of(m_calls, [](const auto& it) { return it.second.replied; });
    if (idle) {
        if (!m_released) {
            append_final_high_water_marks();
            m_released = true;
        }
        m_journal.finish_handover();
    }
}

void partition_owner::core::append_final_high_water_marks()
{
    for (auto& item : m_programs) {
        program_state& program = item.second;
        const budget spent = program.account.used();
        if (!program.ended && program.account.high_water_mark() != spent) {
            program.account.set_high_water_mark(spent);
            append(high_water_mark_entry{item.first, spent});
        }
    }
}

void partition_owner::core::drop_ownership(loss_reason reason, std::optional<instance_ref> owner)
{
    m_current_owner = owner;
    m_phase = owner_phase::idle;
    m_recovery.reset();
    m_backups.stop();
    refuse_all_requests(not_owner_refusal());
    m_calls.clear();
    m_pending_replies.clear();
    m_programs.clear();
    m_loads.clear();
    count_bytes(0);
    emit(partition_lost{reason, std::move(owner)});
}

void partition_owner::core::refuse_all_requests(const refusal& reason)
{
    for (const auto& [id, call] : m_calls) {
        if (call.kind == call_kind::turn && call.step == call_step::running) {
            emit(cancel_engine_call{id});
        }
        if (call.replied) {
            continue;
        }
        refusal refused = reason;
        refused.run = call.step == call_step::running || call.attempt > 1 ? execution_state::outcome_unknown
                                                                          : execution_state::not_run;
        refuse(call.request, std::move(refused));
    }
    refuse_waiting({}, reason);
    for (pending_reply& it : m_pending_replies) {
        refusal refused = reason;
        refused.run = it.timeout_refusal.run;
        refuse(it.request, std::move(refused));
    }
}

refusal partition_owner::core::not_owner_refusal() const
{
    if (m_current_owner) {
        return {result_code::moved, execution_state::not_run, "another instance owns the partition",
                short_retry_after_ms, m_current_owner->address};
    }
    return {result_code::program_unavailable,
            execution_state::not_run,
            "this instance does not own the partition",
            short_retry_after_ms,
            {}};
}

void partition_owner::core::send_pending_replies()
{
    for (auto it = m_pending_replies.begin(); it != m_pending_replies.end();) {
        const bool stored = is_stored(it->sequence) || m_settings.faults.reply_before_stored;
        if (!stored && m_now < it->deadline) {
            ++it;
            continue;
        }
        pending_reply done = std::move(*it);
        it = m_pending_replies.erase(it);
        if (stored) {
            emit(owner_reply{done.request, std::move(done.result)});
            continue;
        }
        refuse(done.request, std::move(done.timeout_refusal));
        if (!done.end_on_timeout.empty()) {
            end_with_children(done.end_on_timeout, "the opening was refused");
        }
    }
}

void partition_owner::core::advance_calls()
{
    std::vector<std::string> ids;
    for (const auto& [id, call] : m_calls) {
        // Most calls wait for an engine and need no work before their deadline.
        if (call.step != call_step::running || m_now >= call.deadline) {
            ids.push_back(id);
        }
    }
    for (const std::string& id : ids) {
        const auto it = m_calls.find(id);
        if (it != m_calls.end()) {
            advance_call(it->second);
        }
    }
}

void partition_owner::core::clean_up()
{
    if (m_now < m_next_clean_up) {
        return;
    }
    m_next_clean_up = m_now + m_settings.retention / clean_up_fraction;
    for (auto it = m_programs.begin(); it != m_programs.end();) {
        program_state& program = it->second;
        expire_results(it->first, program);
        const bool expired = program.ended && m_journal.durable() >= program.end_sequence && !has_calls(it->first) &&
                             m_now >= program.ended_at + m_settings.retention;
        if (!expired) {
            ++it;
            continue;
        }
        m_journal.remove_program(it->first);
        count_bytes(m_history_bytes - program.text_bytes);
        it = m_programs.erase(it);
    }
}

bool partition_owner::core::has_calls(const std::string& program) const
{
    return std::ranges::any_of(m_calls, [&program](const auto& it) { return it.second.program == program; });
}

void partition_owner::core::expire_results(const std::string& id, program_state& program)
{
    for (auto& item : program.keys) {
        key_state& state = item.second;
        const bool expired = state.status == key_status::known && state.finished &&
                             m_journal.durable() >= state.sequence && m_now >= *state.finished + m_settings.retention;
        if (expired) {
            state.status = key_status::expired;
            state.result.clear();
            state.result_text.reset();
            m_journal.expire_result(id, item.first, state.call);
        }
    }
    count_texts(program);
}

std::uint64_t partition_owner::core::append(entry content, text_ref text, durability required)
{
    return m_journal.append(std::move(content), std::move(text), required, m_now);
}

program_state* partition_owner::core::find_program(std::string_view id)
{
    const auto it = m_programs.find(id);
    return it == m_programs.end() ? nullptr : &it->second;
}

const program_state* partition_owner::core::find_program(std::string_view id) const
{
    const auto it = m_programs.find(id);
    return it == m_programs.end() ? nullptr : &it->second;
}

void partition_owner::core::reply(request_id request, success result)
{
    emit(owner_reply{request, std::move(result)});
}

void partition_owner::core::refuse(request_id request, refusal reason)
{
    emit(owner_reply{request, std::move(reason)});
}

void partition_owner::core::reply_when_stored(pending_reply reply)
{
    m_pending_replies.push_back(std::move(reply));
}

} // namespace lagoonferry
