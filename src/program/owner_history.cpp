#include "program/history.h"
#include "program/owner_core.h"

#include <algorithm>

namespace lagoonferry {

namespace {

/// Memory for the digests, identifiers and containers of one text.
constexpr std::size_t text_overhead_bytes = 512;

/// Interval at which a partition checks whether other partitions of the process need its memory.
constexpr timestamp eviction_interval{std::chrono::seconds{1}};

refusal refused(result_code code, std::string text, std::uint64_t retry_after_ms)
{
    return {code, execution_state::not_run, std::move(text), retry_after_ms, {}};
}

std::size_t memory_bytes(const text_ref& text)
{
    return text ? text_overhead_bytes + text_bytes(*text) : 0;
}

} // namespace

bool partition_owner::core::in_memory(const program_state& program)
{
    return std::ranges::none_of(program.turns, [](const text_ref& it) { return it == nullptr; });
}

std::optional<refusal> partition_owner::core::check_history(const begin_turn& it, const program_state& program) const
{
    if (it.number > program.turns.size() + 1) {
        return refused(result_code::turn_out_of_order, "the next turn is " + std::to_string(program.turns.size() + 1),
                       0);
    }
    if (m_now >= it.deadline) {
        return refused(result_code::deadline_exceeded, "the deadline has passed", 0);
    }
    if (m_journal.reader().failing(m_now) || m_journal.stalled(m_now, m_settings.confirm_timeout)) {
        return refused(result_code::platform_unavailable, "the history cannot be read now", long_retry_after_ms);
    }
    const bool loading =
        std::ranges::any_of(m_loads, [&it](const history_load& load) { return load.program == it.program; });
    const bool full = (!loading && m_loads.size() >= m_settings.max_history_loads) ||
                      m_waiting_turns.size() >= 4 * m_settings.max_history_loads;
    if (full) {
        return refused(result_code::overloaded, "too many histories are being read", short_retry_after_ms);
    }
    return std::nullopt;
}

void partition_owner::core::enqueue_history_load(const begin_turn& it, const program_state& program)
{
    if (auto reason = check_history(it, program)) {
        refuse(it.request, std::move(*reason));
        return;
    }
    m_waiting_turns.push_back({it, std::min(it.deadline, m_now + m_settings.confirm_timeout)});
    if (std::ranges::any_of(m_loads, [&it](const history_load& load) { return load.program == it.program; })) {
        return;
    }
    history_load load;
    load.program = it.program;
    for (std::string& key : m_journal.evicted_segment_keys(it.program)) {
        load.keys.insert(std::move(key));
    }
    m_loads.push_back(std::move(load));
}

void partition_owner::core::advance_loads()
{
    if (const auto read = m_journal.reader().take()) {
        finish_read(*read);
    }
    for (auto it = m_waiting_turns.begin(); it != m_waiting_turns.end();) {
        if (m_now < it->deadline) {
            ++it;
            continue;
        }
        refuse(it->turn.request,
               refused(result_code::platform_unavailable, "the history was not read in time", long_retry_after_ms));
        it = m_waiting_turns.erase(it);
    }
    if (m_phase != owner_phase::ready || m_loads.empty() || !m_journal.reader().ready(m_now)) {
        return;
    }
    if (m_loads.front().keys.empty()) {
        // No segment contains the missing texts.
        const std::string program = m_loads.front().program;
        drop_loads(program);
        refuse_waiting(program,
                       refused(result_code::program_unavailable, "the history was not found", long_retry_after_ms));
        return;
    }
    ++m_counters.segment_reads;
    m_journal.reader().read(*m_loads.front().keys.begin(), m_now);
}

void partition_owner::core::finish_read(const segment_read& read)
{
    if (read.result == segment_read_status::failed) {
        drop_loads({});
        refuse_waiting(
            {}, refused(result_code::platform_unavailable, "the history cannot be read now", long_retry_after_ms));
        return;
    }
    std::vector<std::string> programs;
    for (const history_load& it : m_loads) {
        if (it.keys.contains(read.key)) {
            programs.push_back(it.program);
        }
    }
    for (const std::string& id : programs) {
        const auto load = std::ranges::find(m_loads, id, &history_load::program);
        if (read.result == segment_read_status::absent) {
            // Another owner may have replaced the segment; the next write of this owner would detect that.
            drop_loads(id);
            refuse_waiting(
                id, refused(result_code::program_unavailable, "a part of the history is missing", long_retry_after_ms));
            continue;
        }
        add_texts(*load, read);
        if (load->keys.empty()) {
            const history_load done = std::move(*load);
            m_loads.erase(load);
            complete_load(done);
        }
    }
}

void partition_owner::core::add_texts(history_load& load, const segment_read& read)
{
    load.keys.erase(read.key);
    for (const text_ref& it : read.texts) {
        const auto* turn = std::get_if<turn_text>(it.get());
        if (turn == nullptr || turn->program != load.program) {
            continue;
        }
        if (!m_settings.faults.skip_history_check && !has_valid_digest(*it)) {
            ++m_counters.digest_mismatches;
            continue;
        }
        load.found[turn->number].push_back(it);
        load.bytes += memory_bytes(it);
        count_bytes(m_history_bytes + memory_bytes(it));
    }
}

void partition_owner::core::complete_load(const history_load& load)
{
    count_bytes(m_history_bytes - load.bytes);
    program_state* program = find_program(load.program);
    if (program == nullptr) {
        return;
    }
    auto chain = assemble_chain(*program, load);
    if (!chain) {
        refuse_waiting(load.program, refused(result_code::program_unavailable, "the history does not match its digest",
                                             long_retry_after_ms));
        return;
    }
    program->turns = std::move(*chain);
    program->last_used = m_now;
    count_texts(*program);
    std::vector<begin_turn> turns;
    std::erase_if(m_waiting_turns, [&](const waiting_turn& it) {
        const bool continues = it.turn.program == load.program;
        if (continues) {
            turns.push_back(it.turn);
        }
        return continues;
    });
    m_resuming_turns = true;
    std::ranges::for_each(turns, [this](const begin_turn& it) { on(it); });
    m_resuming_turns = false;
}

std::optional<std::vector<text_ref>> partition_owner::core::assemble_chain(const program_state& program,
                                                                           const history_load& load) const
{
    const bool check = !m_settings.faults.skip_history_check;
    std::vector<text_ref> chain;
    std::string previous;
    for (const text_ref& current : program.turns) {
        const auto found = load.found.find(chain.size() + 1);
        std::vector<text_ref> candidates = found == load.found.end() ? std::vector<text_ref>{} : found->second;
        if (current) {
            candidates = {current};
        }
        const auto it = std::ranges::find_if(
            candidates, [&](const text_ref& text) { return !check || as_turn(text).previous == previous; });
        if (it == candidates.end()) {
            return std::nullopt;
        }
        chain.push_back(*it);
        previous = as_turn(*it).digest;
    }
    return !check || previous == program.digest ? std::optional{std::move(chain)} : std::nullopt;
}

void partition_owner::core::refuse_waiting(const std::string& program, const refusal& reason)
{
    std::erase_if(m_waiting_turns, [&](const waiting_turn& it) {
        const bool affected = program.empty() || it.turn.program == program;
        if (affected) {
            refuse(it.turn.request, reason);
        }
        return affected;
    });
}

void partition_owner::core::drop_loads(const std::string& program)
{
    std::erase_if(m_loads, [&](const history_load& it) {
        const bool dropped = program.empty() || it.program == program;
        count_bytes(m_history_bytes - (dropped ? it.bytes : 0));
        return dropped;
    });
}

void partition_owner::core::evict_texts()
{
    if (m_now >= m_next_eviction) {
        m_next_eviction = m_now + eviction_interval;
    }
    if (m_memory->near_limit()) {
        evict_to_partition_limit(false);
    }
    // Small segments alone can exceed the limit: 16 segments of 60 KB in each of 32 partitions are 30 MB.
    if (m_memory->near_limit()) {
        evict_to_partition_limit(true);
    }
}

void partition_owner::core::evict_to_partition_limit(bool include_small_segments)
{
    if (m_history_bytes <= m_memory->partition_limit()) {
        return;
    }
    std::vector<program_state*> by_last_use;
    for (auto& item : m_programs) {
        if (!item.second.turns.empty() && !needs_texts(item.second)) {
            by_last_use.push_back(&item.second);
        }
    }
    std::ranges::stable_sort(by_last_use, {}, &program_state::last_used);
    for (program_state* it : by_last_use) {
        if (m_history_bytes <= m_memory->partition_limit()) {
            return;
        }
        evict(*it, include_small_segments);
    }
}

void partition_owner::core::evict(program_state& program, bool include_small_segments)
{
    for (const std::uint64_t number : m_journal.evict(program.opened.program, include_small_segments)) {
        if (number > program.turns.size()) {
            continue;
        }
        text_ref& text = program.turns.at(number - 1);
        m_counters.evicted_texts += text ? 1 : 0;
        text.reset();
    }
    count_texts(program);
}

bool partition_owner::core::needs_texts(const program_state& program) const
{
    // The prompt of a starting turn is built from the texts once its high-water mark is stored.
    const auto call = m_calls.find(program.running_turn);
    const bool starting = call != m_calls.end() && call->second.step == call_step::storing_high_water_mark;
    return starting || std::ranges::any_of(m_loads, [&program](const history_load& it) {
               return it.program == program.opened.program;
           });
}

void partition_owner::core::count_texts(program_state& program)
{
    std::size_t bytes = 0;
    for (const text_ref& it : program.turns) {
        bytes += memory_bytes(it);
    }
    for (const auto& item : program.keys) {
        bytes += memory_bytes(item.second.result_text);
    }
    count_bytes(m_history_bytes - program.text_bytes + bytes);
    program.text_bytes = bytes;
}

void partition_owner::core::count_bytes(std::size_t bytes)
{
    m_memory->update(m_history_bytes, bytes);
    m_history_bytes = bytes;
}

} // namespace lagoonferry
