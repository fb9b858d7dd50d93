#include "program/recovery.h"

#include <algorithm>
#include <iterator>

namespace lagoonferry {

namespace {

/// Time to wait for the reply of a backup that left the instance list. The list lags behind, so such a backup may still
/// be running and reply.
constexpr timestamp delisted_timeout{std::chrono::milliseconds{500}};

const std::string& digest_of(const stored_text& text)
{
    return std::visit([](const auto& it) -> const std::string& { return it.digest; }, text);
}

/// Texts of one program by turn number. Repeated writes can leave several texts with the same number.
using turn_table = std::map<std::uint64_t, std::vector<const text_summary*>>;

/// Returns the verified chain of the turns up to `last`, or nothing if a part is missing or the digest differs.
std::optional<std::vector<text_ref>> build_chain(const turn_table& turns, std::uint64_t last, const std::string& digest)
{
    std::vector<text_ref> chain;
    std::string previous;
    for (std::uint64_t number = 1; number <= last; ++number) {
        const auto found = turns.find(number);
        if (found == turns.end()) {
            return std::nullopt;
        }
        const auto it = std::ranges::find_if(
            found->second, [&previous](const text_summary* text) { return text->previous == previous; });
        if (it == found->second.end()) {
            return std::nullopt;
        }
        chain.push_back((*it)->text);
        previous = (*it)->digest;
    }
    return previous == digest ? std::optional{std::move(chain)} : std::nullopt;
}

/// Returns whether an item has no text or a text that matches the digest in its entry.
bool has_consistent_text(const log_item& item)
{
    if (!item.text) {
        return true;
    }
    const auto* turn = std::get_if<turn_entry>(&item.content);
    const auto* outcome = std::get_if<outcome_entry>(&item.content);
    const bool matches = (turn != nullptr && turn->digest == digest_of(*item.text)) ||
                         (outcome != nullptr && outcome->result_digest == digest_of(*item.text));
    return matches && has_valid_digest(*item.text);
}

} // namespace

recovery::recovery(const head_record& sealed, const owner_settings& settings)
    : m_settings(&settings), m_epoch(sealed.epoch), m_ready_epoch(sealed.ready_epoch), m_sequence(sealed.sequence)
{
    if (settings.faults.skip_fencing) {
        return;
    }
    std::ranges::transform(sealed.backups, std::back_inserter(m_fetches), [](const backup_ref& it) {
        backup_fetch added;
        added.backup = it;
        return added;
    });
}

void recovery::set_peers(const std::vector<peer_state>& peers)
{
    for (backup_fetch& it : m_fetches) {
        const auto peer = std::ranges::find_if(
            peers, [&it](const peer_state& candidate) { return candidate.instance.id == it.backup.id; });
        it.delisted = peer == peers.end() || !peer->listed;
    }
}

void recovery::poll(timestamp now, std::vector<action>& out)
{
    for (backup_fetch& it : m_fetches) {
        if (it.done || now < it.next_send) {
            continue;
        }
        it.first_send = it.first_send.value_or(now);
        it.next_send = now + m_settings->resend_interval;
        out.emplace_back(send_fetch{{it.backup.id, it.backup.address}, {m_settings->partition, m_epoch, it.after}});
    }
}

bool recovery::handle(const fetch_reply& reply)
{
    const auto it = std::ranges::find_if(
        m_fetches, [&reply](const backup_fetch& candidate) { return candidate.backup.id == reply.backup; });
    if (it == m_fetches.end() || reply.epoch != m_epoch || it->done || reply.after != it->after) {
        return true;
    }
    if (reply.refused) {
        return false;
    }
    // A restarted backup has lost its replica. A replica of another epoch means that the backup has not acknowledged
    // anything in the last ready epoch.
    it->restarted = reply.incarnation != it->backup.incarnation;
    if (it->restarted || reply.data_epoch != m_ready_epoch) {
        it->done = true;
        return true;
    }
    for (const log_item& item : reply.items) {
        m_items[item.sequence].push_back(item);
        it->after = std::max(it->after, item.sequence);
    }
    it->done = reply.items.empty() || it->after >= reply.last;
    it->next_send = timestamp{0};
    return true;
}

bool recovery::complete(timestamp now) const
{
    return std::ranges::all_of(m_fetches, [now](const backup_fetch& it) { return finished(it, now); });
}

bool recovery::finished(const backup_fetch& it, timestamp now)
{
    return it.done || (it.delisted && it.first_send && now >= *it.first_send + delisted_timeout);
}

bool recovery::lacks_replica() const
{
    return std::ranges::any_of(m_fetches, [](const backup_fetch& it) { return !it.done || it.restarted; });
}

recovered_partition recovery::merge(const partition_image& image, const std::vector<text_summary>& texts) const
{
    recovered_partition out;
    out.image = image;
    merge_entries(out);
    std::vector<text_summary> all;
    for (const text_summary& it : texts) {
        if (it.digest_valid) {
            all.push_back(it);
        }
        else {
            ++out.digest_mismatches;
        }
    }
    add_unflushed(all, out);
    for (const log_item& it : out.items) {
        if (it.text) {
            all.push_back(summarize(it.text));
        }
    }
    build_histories(all, out);
    return out;
}

void recovery::merge_entries(recovered_partition& out) const
{
    for (std::uint64_t sequence = m_sequence + 1;; ++sequence) {
        const log_item* item = choose_item(sequence, out);
        if (item == nullptr) {
            return;
        }
        out.image.apply(item->content);
        out.items.push_back(*item);
        if (!has_consistent_text(*item)) {
            // The entry is kept without its text, so that the program becomes unavailable instead of losing the turn.
            out.items.back().text = nullptr;
        }
    }
}

const log_item* recovery::choose_item(std::uint64_t sequence, recovered_partition& out) const
{
    const auto found = m_items.find(sequence);
    if (found == m_items.end()) {
        return nullptr;
    }
    const std::vector<log_item>& candidates = found->second;
    out.digest_mismatches += static_cast<std::uint64_t>(
        std::ranges::count_if(candidates, [](const log_item& it) { return !has_consistent_text(it); }));
    const auto it = std::ranges::find_if(candidates, has_consistent_text);
    return it == candidates.end() ? &candidates.front() : &*it;
}

void recovery::add_unflushed(const std::vector<text_summary>& texts, recovered_partition& out) const
{
    std::set<std::string_view> flushed;
    for (const text_summary& it : texts) {
        flushed.insert(it.digest);
    }
    std::vector<log_item> earlier;
    for (auto it = m_items.begin(); it != m_items.end() && it->first <= m_sequence; ++it) {
        const log_item* item = choose_item(it->first, out);
        if (item->text && has_consistent_text(*item) && !flushed.contains(digest_of(*item->text))) {
            earlier.push_back(*item);
        }
    }
    out.items.insert(out.items.begin(), std::make_move_iterator(earlier.begin()),
                     std::make_move_iterator(earlier.end()));
}

void recovery::build_histories(const std::vector<text_summary>& texts, recovered_partition& out)
{
    std::map<std::string, turn_table, std::less<>> turns;
    for (const text_summary& it : texts) {
        if (it.number != 0) {
            turns[it.program][it.number].push_back(&it);
        }
        else {
            out.results[std::get<result_text>(*it.text).call] = it.text;
        }
    }
    for (const auto& item : out.image.programs()) {
        const std::string& id = item.first;
        const program_record& program = item.second;
        if (program.ended) {
            continue;
        }
        auto chain = build_chain(turns[id], program.turns, program.digest);
        if (chain) {
            out.histories[id] = std::move(*chain);
        }
        else {
            out.unavailable.insert(id);
        }
    }
}

void recovery::add_wakes(earliest_wakeup& wakes) const
{
    for (const backup_fetch& it : m_fetches) {
        if (!it.done) {
            wakes.add(it.next_send);
            wakes.add(it.delisted && it.first_send ? std::optional{*it.first_send + delisted_timeout} : std::nullopt);
        }
    }
}

} // namespace lagoonferry
