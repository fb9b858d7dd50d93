#include "program/replica_store.h"

#include <algorithm>

namespace lagoonferry {

namespace {

/// Maximum number of programs in one replica whose last turn is remembered. For other programs only a successor checks
/// that a text follows its predecessor.
constexpr std::size_t max_tracked_programs = 4096;

const turn_text* turn_of(const log_item& item)
{
    return item.text ? std::get_if<turn_text>(item.text.get()) : nullptr;
}

} // namespace

replica_store::replica_store(std::string id, std::uint64_t incarnation, replica_limits limits, replica_faults faults)
    : m_id(std::move(id)), m_incarnation(incarnation), m_limits(limits), m_faults(faults)
{
}

replicate_reply replica_store::replicate(const replicate_request& request)
{
    replicate_reply reply{.partition = request.partition,
                          .backup = m_id,
                          .incarnation = m_incarnation,
                          .epoch = request.epoch,
                          .stream = request.stream,
                          .status = replicate_status::full,
                          .last = 0};
    replica_state* replica = find_or_add(request.partition);
    if (replica == nullptr) {
        return reply;
    }
    if (!m_faults.accept_lower_epochs && request.epoch < replica->highest_epoch) {
        reply.status = replicate_status::stale_epoch;
        reply.epoch = replica->highest_epoch;
        return reply;
    }
    if (!m_faults.accept_other_incarnations && request.incarnation != m_incarnation) {
        // A reset for an earlier start of this process would replace the replica of a stream that is in use.
        reply.status = replicate_status::gap;
        return reply;
    }
    replica->highest_epoch = std::max(replica->highest_epoch, request.epoch);
    reply.status = apply_batch(*replica, request);
    const bool same_replica = replica->data_epoch == request.epoch && replica->stream == request.stream;
    reply.last = same_replica ? replica->last : 0;
    return reply;
}

replica_store::replica_state* replica_store::find_or_add(std::uint32_t partition)
{
    const auto it = m_replicas.find(partition);
    if (it != m_replicas.end()) {
        return &it->second;
    }
    return m_replicas.size() < m_limits.max_replicas ? &m_replicas[partition] : nullptr;
}

replicate_status replica_store::apply_batch(replica_state& replica, const replicate_request& request)
{
    const bool newer = request.epoch != replica.data_epoch || request.stream > replica.stream;
    if (request.reset && newer) {
        reset_replica(replica, request);
    }
    const bool same_replica = request.epoch == replica.data_epoch && request.stream == replica.stream;
    if (!same_replica || request.previous > replica.last) {
        return replicate_status::gap;
    }
    drop_flushed(replica, request.flushed);
    for (const log_item& it : request.items) {
        if (it.sequence <= replica.last) {
            continue;
        }
        const replicate_status status = append_item(replica, it);
        if (status != replicate_status::accepted) {
            return status;
        }
    }
    return replicate_status::accepted;
}

void replica_store::reset_replica(replica_state& replica, const replicate_request& request)
{
    m_bytes -= replica.bytes;
    const std::uint64_t highest_epoch = replica.highest_epoch;
    replica = {};
    replica.highest_epoch = highest_epoch;
    replica.data_epoch = request.epoch;
    replica.stream = request.stream;
    replica.last = request.previous;
}

replicate_status replica_store::append_item(replica_state& replica, const log_item& item)
{
    if (item.sequence != replica.last + 1) {
        return replicate_status::gap;
    }
    if (!extends_chain(replica, item)) {
        return replicate_status::gap;
    }
    const std::size_t bytes = item_bytes(item);
    if (m_bytes + bytes > m_limits.max_bytes) {
        return replicate_status::full;
    }
    if (const turn_text* turn = turn_of(item); turn != nullptr && replica.last_turns.size() < max_tracked_programs) {
        replica.last_turns[turn->program] = {turn->number, turn->digest};
    }
    if (const auto* ended = std::get_if<end_entry>(&item.content)) {
        replica.last_turns.erase(ended->program);
    }
    replica.bytes += bytes;
    m_bytes += bytes;
    replica.last = item.sequence;
    replica.items.emplace(item.sequence, item);
    return replicate_status::accepted;
}

bool replica_store::extends_chain(const replica_state& replica, const log_item& item)
{
    if (!item.text) {
        return true;
    }
    if (!has_valid_digest(*item.text)) {
        return false;
    }
    const turn_text* turn = turn_of(item);
    if (turn == nullptr) {
        return true;
    }
    const auto* committed = std::get_if<turn_entry>(&item.content);
    if (committed == nullptr || committed->digest != turn->digest) {
        return false;
    }
    const auto it = replica.last_turns.find(turn->program);
    return it == replica.last_turns.end() ||
           (it->second.number + 1 == turn->number && it->second.digest == turn->previous);
}

void replica_store::drop_flushed(replica_state& replica, std::uint64_t flushed)
{
    const auto end = replica.items.upper_bound(flushed);
    for (auto it = replica.items.begin(); it != end; ++it) {
        const std::size_t bytes = item_bytes(it->second);
        replica.bytes -= bytes;
        m_bytes -= bytes;
    }
    replica.items.erase(replica.items.begin(), end);
}

fetch_reply replica_store::fetch(const fetch_request& request)
{
    fetch_reply reply{.partition = request.partition,
                      .backup = m_id,
                      .incarnation = m_incarnation,
                      .epoch = request.epoch,
                      .after = request.after,
                      .refused = true,
                      .data_epoch = 0,
                      .last = 0,
                      .items = {}};
    replica_state* replica = find_or_add(request.partition);
    if (replica == nullptr || request.epoch < replica->highest_epoch) {
        return reply;
    }
    reply.refused = false;
    replica->highest_epoch = request.epoch;
    reply.data_epoch = replica->data_epoch;
    reply.last = replica->last;
    std::size_t bytes = 0;
    for (auto it = replica->items.upper_bound(request.after); it != replica->items.end(); ++it) {
        const std::size_t next = item_bytes(it->second);
        if (!reply.items.empty() && bytes + next > m_limits.max_fetch_bytes) {
            break;
        }
        bytes += next;
        reply.items.push_back(it->second);
    }
    return reply;
}

} // namespace lagoonferry
