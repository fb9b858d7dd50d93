#include "program/replica_store.h"

#include <algorithm>

namespace lagoonferry {

namespace {

/// The bound of remembered chain ends in one copy; without one, a text's link to its predecessor is checked only by
/// the successor.
constexpr std::size_t max_chains = 4096;

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
    copy* target = find_or_add(request.partition);
    if (target == nullptr) {
        return reply;
    }
    if (!m_faults.accept_lower_epochs && request.epoch < target->highest_epoch) {
        reply.status = replicate_status::stale_epoch;
        reply.epoch = target->highest_epoch;
        return reply;
    }
    if (!m_faults.accept_other_incarnations && request.incarnation != m_incarnation) {
        // A reset meant for an earlier process start would replace the copy of a stream that is in use.
        reply.status = replicate_status::gap;
        return reply;
    }
    target->highest_epoch = std::max(target->highest_epoch, request.epoch);
    reply.status = store(*target, request);
    const bool same_copy = target->data_epoch == request.epoch && target->stream == request.stream;
    reply.last = same_copy ? target->last : 0;
    return reply;
}

replica_store::copy* replica_store::find_or_add(std::uint32_t partition)
{
    const auto it = m_copies.find(partition);
    if (it != m_copies.end()) {
        return &it->second;
    }
    return m_copies.size() < m_limits.max_replicas ? &m_copies[partition] : nullptr;
}

replicate_status replica_store::store(copy& target, const replicate_request& request)
{
    const bool newer = request.epoch != target.data_epoch || request.stream > target.stream;
    if (request.reset && newer) {
        restart(target, request);
    }
    const bool same_copy = request.epoch == target.data_epoch && request.stream == target.stream;
    if (!same_copy || request.previous > target.last) {
        return replicate_status::gap;
    }
    drop_flushed(target, request.flushed);
    for (const log_item& it : request.items) {
        if (it.sequence <= target.last) {
            continue;
        }
        const replicate_status status = add(target, it);
        if (status != replicate_status::accepted) {
            return status;
        }
    }
    return replicate_status::accepted;
}

void replica_store::restart(copy& target, const replicate_request& request)
{
    m_bytes -= target.bytes;
    const std::uint64_t highest_epoch = target.highest_epoch;
    target = {};
    target.highest_epoch = highest_epoch;
    target.data_epoch = request.epoch;
    target.stream = request.stream;
    target.last = request.previous;
}

replicate_status replica_store::add(copy& target, const log_item& item)
{
    if (item.sequence != target.last + 1) {
        return replicate_status::gap;
    }
    if (!extends_chain(target, item)) {
        return replicate_status::gap;
    }
    const std::size_t bytes = item_bytes(item);
    if (m_bytes + bytes > m_limits.max_bytes) {
        return replicate_status::full;
    }
    if (const turn_text* turn = turn_of(item); turn != nullptr && target.chains.size() < max_chains) {
        target.chains[turn->program] = {turn->number, turn->digest};
    }
    if (const auto* ended = std::get_if<end_entry>(&item.content)) {
        target.chains.erase(ended->program);
    }
    target.bytes += bytes;
    m_bytes += bytes;
    target.last = item.sequence;
    target.items.emplace(item.sequence, item);
    return replicate_status::accepted;
}

bool replica_store::extends_chain(const copy& target, const log_item& item)
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
    const auto it = target.chains.find(turn->program);
    return it == target.chains.end() || (it->second.number + 1 == turn->number && it->second.digest == turn->previous);
}

void replica_store::drop_flushed(copy& target, std::uint64_t flushed)
{
    const auto end = target.items.upper_bound(flushed);
    for (auto it = target.items.begin(); it != end; ++it) {
        const std::size_t bytes = item_bytes(it->second);
        target.bytes -= bytes;
        m_bytes -= bytes;
    }
    target.items.erase(target.items.begin(), end);
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
    copy* source = find_or_add(request.partition);
    if (source == nullptr || request.epoch < source->highest_epoch) {
        return reply;
    }
    reply.refused = false;
    source->highest_epoch = request.epoch;
    reply.data_epoch = source->data_epoch;
    reply.last = source->last;
    std::size_t bytes = 0;
    for (auto it = source->items.upper_bound(request.after); it != source->items.end(); ++it) {
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
