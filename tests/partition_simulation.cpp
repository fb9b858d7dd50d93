#include "partition_simulation.h"

#include "journal/segment_set.h"
#include "program/history.h"
#include "program/history_memory.h"
#include "util/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace lagoonferry::test {

namespace {

using nlohmann::json;
using result = std::variant<success, refusal>;

constexpr std::size_t instance_count = 4;
constexpr std::uint32_t partition = 0;
constexpr timestamp presumed_down_after{std::chrono::milliseconds{500}};
constexpr timestamp delisted_after{std::chrono::milliseconds{1500}};
constexpr timestamp recovery_timeout{std::chrono::seconds{90}};
constexpr std::uint64_t max_completion = 40;

/// Request events of callers. A `kv_reply` has a request number too, but not of a caller.
template <class T>
concept caller_event = requires(T it)
{
    it.account;
};

const refusal* refused(const result* it)
{
    return it == nullptr ? nullptr : std::get_if<refusal>(it);
}

bool is_permanent(const refusal& it)
{
    return it.code == result_code::program_unavailable && it.retry_after_ms == 0;
}

std::string message(const std::string& program, const std::string& text)
{
    return json{{"role", "user"}, {"content", program + " " + text}}.dump();
}

} // namespace

partition_simulation::partition_simulation(const simulation_options& options)
    : m_options(options), m_random(options.seed)
{
    m_faults_end = m_now + random_duration(1500, 4500);
    m_instances.resize(instance_count);
    for (std::size_t n = 0; n < instance_count; ++n) {
        m_instances[n].id = "e" + std::to_string(n);
        start(n);
    }
    publish_membership();
    change_ownership();
    const std::uint64_t faults = 2 + random_below(7);
    for (std::uint64_t n = 0; n < faults; ++n) {
        at(random_duration(200, static_cast<std::uint64_t>((m_faults_end - m_now).count() / 1000)),
           [this] { inject_fault(); });
    }
    for (int n = 0; n < 3; ++n) {
        caller_state it;
        it.program = std::to_string(partition) + "-p" + std::to_string(n);
        const bool small = chance(30);
        it.limits = small ? budget{4000, 12, 300} : budget{1000000, 4000, 400000};
        caller_state& added = m_callers.emplace(it.program, it).first->second;
        after(added, random_duration(1, 100));
    }
}

timestamp partition_simulation::random_duration(std::uint64_t low, std::uint64_t high)
{
    return std::chrono::microseconds{low * 1000 + random_below((high - low) * 1000 + 1)};
}

void partition_simulation::at(timestamp delay, std::function<void()> run)
{
    m_queue.push({m_now + delay, ++m_order, std::make_shared<std::function<void()>>(std::move(run))});
}

void partition_simulation::report_violation(const std::string& what)
{
    if (!m_violation) {
        m_violation = what;
        trace("VIOLATION " + what);
    }
}

void partition_simulation::trace(const std::string& text) const
{
    if (m_options.trace) {
        std::cerr << m_now.count() << ' ' << text << '\n';
    }
}

std::optional<std::string> partition_simulation::run()
{
    bool faults_stopped = false;
    while (!m_queue.empty() && !m_violation) {
        const scheduled next = m_queue.top();
        m_queue.pop();
        m_now = std::max(m_now, next.at);
        if (faults_over() && !faults_stopped) {
            faults_stopped = true;
            for (std::size_t n = 0; n < instance_count; ++n) {
                m_instances[n].paused_until = timestamp{0};
                if (!m_instances[n].alive) {
                    start(n);
                }
            }
            publish_membership();
        }
        if (faults_over() && (finished() || m_now > m_faults_end + recovery_timeout)) {
            break;
        }
        ++m_counts.events;
        (*next.run)();
    }
    if (!m_violation) {
        check_end();
    }
    return m_violation;
}

// Instances

void partition_simulation::start(std::size_t n)
{
    instance& it = m_instances[n];
    ++it.incarnation;
    it.alive = true;
    it.paused_until = timestamp{0};
    owner_settings settings;
    settings.partition = partition;
    settings.self = {it.id, it.id};
    settings.incarnation = it.incarnation;
    settings.failure_domain = "d" + std::to_string(n % 3);
    settings.writer = it.id + "." + std::to_string(it.incarnation);
    settings.faults = m_options.faults;
    settings.journal.read_back = m_options.read_back;
    settings.journal.max_tail_bytes = 2048;
    settings.journal.min_segments_to_merge = 3;
    if (m_options.history_bytes > 0) {
        settings.memory = std::make_shared<history_memory>(m_options.history_bytes);
        settings.journal.min_evictable_bytes = 1;
    }
    it.owner = std::make_unique<partition_owner>(settings);
    it.store = std::make_unique<replica_store>(it.id, it.incarnation, replica_limits{}, m_options.replica);
    trace("start " + settings.writer);
}

void partition_simulation::crash(std::size_t n)
{
    instance& it = m_instances[n];
    if (!it.alive) {
        return;
    }
    trace("crash " + it.id);
    it.alive = false;
    it.stopped_at = m_now;
    const auto present = head();
    const bool listed = present && std::ranges::count(present->backups, backup_ref{it.id, it.id, it.incarnation}) > 0;
    if (listed) {
        m_lossy_epochs.insert(present->ready_epoch);
    }
    it.owner.reset();
    it.store.reset();
    const auto requests = std::exchange(it.requests, {});
    for (const auto& [id, open] : requests) {
        at(random_duration(1, 5), [done = open.done] { done(nullptr, 0); });
    }
    if (listed && present->epoch != present->ready_epoch) {
        check_recoverable();
    }
    at(chance(50) ? random_duration(20, 300) : random_duration(300, 2500), [this, n] {
        if (!m_instances[n].alive) {
            start(n);
        }
    });
}

void partition_simulation::pause(std::size_t n)
{
    m_instances[n].paused_until = m_now + random_duration(50, 3000);
    m_instances[n].stopped_at = m_now;
    trace("pause " + m_instances[n].id);
}

void partition_simulation::inject_fault()
{
    const timestamp end = m_now + random_duration(100, 2500);
    const std::uint64_t kind = random_below(9);
    trace("fault " + std::to_string(kind));
    const std::size_t n = chance(40) ? choose_instance() : random_below(instance_count);
    const std::size_t other = (n + 1 + random_below(instance_count - 1)) % instance_count;
    switch (kind) {
    case 0:
        crash(n);
        return;
    case 1:
        crash(n);
        crash(other);
        return;
    case 2:
        pause(n);
        return;
    case 3:
        pause(n);
        crash(other);
        return;
    case 4:
        pause(n);
        at(random_duration(50, 1500), [this, other] { crash(other); });
        return;
    case 5:
        m_kv_outage_end = end;
        return;
    case 6:
        m_kv_slow_end = end;
        return;
    case 7:
        m_kv_lossy_end = end;
        return;
    default:
        m_net_lossy_end = end;
        m_link_down_until[{n, random_below(instance_count)}] = end;
        return;
    }
}

void partition_simulation::publish_membership()
{
    for (std::size_t to = 0; to < instance_count; ++to) {
        membership_changed view;
        for (std::size_t n = 0; n < instance_count; ++n) {
            const instance& it = m_instances[(to + n) % instance_count];
            const bool stopped = !it.alive || it.paused_until > m_now;
            const bool presumed_down = stopped && m_now >= it.stopped_at + presumed_down_after;
            const bool listed = it.alive || m_now < it.stopped_at + delisted_after;
            view.peers.push_back({{it.id, it.id},
                                  it.incarnation,
                                  "d" + std::to_string((to + n) % instance_count % 3),
                                  presumed_down,
                                  false,
                                  listed});
        }
        deliver(to, view);
    }
    at(random_duration(200, 400), [this] { publish_membership(); });
}

void partition_simulation::change_ownership()
{
    const auto active = [](const instance& it) { return it.alive && it.owner->phase() != owner_phase::idle; };
    const auto running_owner = [&](const instance& it) { return active(it) && it.paused_until <= m_now; };
    const bool healthy = std::ranges::any_of(m_instances, running_owner);
    const std::size_t n = random_below(instance_count);
    const bool idle = m_instances[n].alive && m_instances[n].owner->phase() == owner_phase::idle;
    if (idle && (healthy ? !faults_over() && chance(5) : chance(60))) {
        trace("takeover by " + m_instances[n].id);
        deliver(n, start_takeover{});
    }
    if (!faults_over() && chance(6) && m_instances[n].alive && m_instances[n].owner->phase() == owner_phase::ready) {
        trace("handover by " + m_instances[n].id);
        const std::string to = "e" + std::to_string((n + 1) % instance_count);
        deliver(n, start_handover{{to, to}});
    }
    at(random_duration(100, 300), [this] { change_ownership(); });
}

void partition_simulation::deliver(std::size_t to, event input, std::uint64_t incarnation)
{
    const std::uint64_t wanted = incarnation == 0 ? m_instances[to].incarnation : incarnation;
    at(timestamp{0}, [this, to, wanted, input = std::move(input)] { deliver_now(to, input, wanted); });
}

void partition_simulation::deliver_now(std::size_t to, const event& input, std::uint64_t incarnation)
{
    const instance& it = m_instances[to];
    if (!it.alive || it.incarnation != incarnation) {
        return;
    }
    if (it.paused_until > m_now) {
        at(it.paused_until - m_now, [this, to, incarnation, input] { deliver_now(to, input, incarnation); });
        return;
    }
    handle(to, input);
}

void partition_simulation::handle(std::size_t to, const event& input)
{
    for (const action& it : m_instances[to].owner->handle(input, m_now)) {
        std::visit([&](const auto& typed) { execute(to, typed); }, it);
    }
    set_timer(to);
}

void partition_simulation::set_timer(std::size_t to)
{
    instance& it = m_instances[to];
    const auto wake = it.owner->next_wake();
    const std::uint64_t number = ++it.timer;
    if (!wake) {
        return;
    }
    at(std::max(*wake - m_now, timestamp{1}), [this, to, number, incarnation = it.incarnation] {
        if (m_instances[to].timer == number) {
            deliver_now(to, timer_fired{}, incarnation);
        }
    });
}

// Key-value service

void partition_simulation::execute(std::size_t from, const kv_call& it)
{
    const std::uint64_t incarnation = m_instances[from].incarnation;
    const auto reply = [this, from, incarnation](timestamp delay, kv_reply answer) {
        at(delay, [this, from, incarnation, answer] { deliver_now(from, answer, incarnation); });
    };
    const auto apply = [this, it] {
        const auto before = it.key == head_key(partition) ? head() : std::nullopt;
        kv_reply answer = m_kv.apply(it);
        const bool head_written = it.key == head_key(partition) && it.operation == kv_operation::compare_and_swap;
        if (head_written && answer.status == kv_status::ok) {
            check_head(before);
        }
        return answer;
    };
    const bool reads_back = it.operation == kv_operation::get && it.key.starts_with("history/") &&
                            m_instances[from].owner->phase() == owner_phase::ready;
    m_counts.history_reads += reads_back ? 1 : 0;
    const bool slow = m_now < m_kv_slow_end;
    const timestamp delay = slow ? random_duration(100, 2500) : random_duration(1, 4);
    kv_reply lost;
    lost.request = it.request;
    if (m_now < m_kv_outage_end) {
        lost.status = chance(50) ? kv_status::unavailable : kv_status::unknown;
        reply(delay, lost);
        return;
    }
    if (m_now < m_kv_lossy_end && chance(50)) {
        lost.status = kv_status::unknown;
        const bool effect_first = chance(50);
        at(effect_first ? delay : delay + random_duration(50, 2000), [apply] { apply(); });
        reply(delay + random_duration(0, 10), lost);
        return;
    }
    at(delay, [apply, reply, it, reads_back, this] {
        const kv_reply answer = reads_back ? corrupt_read(it, apply()) : apply();
        reply(random_duration(1, 3), answer);
        if (reads_back && chance(20)) {
            reply(random_duration(1, 300), answer);
        }
    });
}

kv_reply partition_simulation::corrupt_read(const kv_call& it, kv_reply answer)
{
    auto texts = decode_segment(answer.value);
    if (faults_over() || answer.version == 0 || !texts || !chance(10)) {
        return answer;
    }
    ++m_counts.corrupted_reads;
    trace("corrupted read " + it.key);
    text_ref& chosen = texts->at(random_below(texts->size()));
    if (const auto* turn = std::get_if<turn_text>(chosen.get())) {
        turn_text corrupted = *turn;
        corrupted.messages.back() = message(turn->program, "changed");
        chosen = std::make_shared<const stored_text>(std::move(corrupted));
    }
    answer.value = encode_segment(*texts);
    return answer;
}

std::optional<head_record> partition_simulation::head()
{
    const auto it = m_kv.entries().find(head_key(partition));
    if (it == m_kv.entries().end()) {
        return std::nullopt;
    }
    if (it->second.version != m_head_version) {
        m_head_version = it->second.version;
        m_head = decode_head(it->second.value);
    }
    return m_head;
}

void partition_simulation::check_head(const std::optional<head_record>& before)
{
    const head_record present = *head();
    const head_record previous = before.value_or(head_record{});
    const bool append = present.epoch == previous.epoch && present.owner == previous.owner;
    const bool takeover = present.epoch == previous.epoch + 1;
    if (!append && !takeover) {
        report_violation("two owners committed in one epoch, or an epoch was skipped");
    }
    if (present.sequence < previous.sequence || present.ready_epoch < previous.ready_epoch) {
        report_violation("the sequence or the ready epoch of the head record decreased");
    }
    const auto missing = [this](const std::string& key) { return !m_kv.entries().contains(key); };
    if ((!present.snapshot.empty() && missing(present.snapshot)) || std::ranges::any_of(present.segments, missing)) {
        report_violation("the head record names a key that does not exist");
    }
    for (const backup_ref& it : present.backups) {
        const auto alive = std::ranges::any_of(m_instances, [&it](const instance& candidate) {
            return candidate.alive && candidate.id == it.id && candidate.incarnation == it.incarnation;
        });
        if (!alive) {
            m_lossy_epochs.insert(present.ready_epoch);
        }
    }
    m_counts.list_changes += append && present.backups != previous.backups ? 1 : 0;
    if (takeover) {
        check_recoverable();
    }
}

// Replication

bool partition_simulation::reachable(std::size_t a, std::size_t b)
{
    return m_link_down_until[{a, b}] <= m_now && m_link_down_until[{b, a}] <= m_now;
}

void partition_simulation::send(std::size_t from, std::size_t to, const std::function<void()>& arrive)
{
    const bool lossy = m_now < m_net_lossy_end;
    if (!reachable(from, to) || (lossy && chance(30))) {
        return;
    }
    const auto delay = [&] { return lossy ? random_duration(1, 700) : random_duration(1, 4); };
    at(delay(), arrive);
    if (lossy && chance(25)) {
        at(delay(), arrive);
    }
}

void partition_simulation::execute(std::size_t from, const send_replicate& it)
{
    const std::size_t to = std::stoul(it.backup.id.substr(1));
    const std::uint64_t incarnation = m_instances[from].incarnation;
    send(from, to, [this, from, to, incarnation, message = it.message] {
        instance& backup = m_instances[to];
        if (!backup.alive) {
            return;
        }
        if (backup.paused_until > m_now) {
            at(backup.paused_until - m_now,
               [this, from, to, incarnation, message] { apply_replicate(from, to, incarnation, message); });
            return;
        }
        apply_replicate(from, to, incarnation, message);
    });
}

void partition_simulation::apply_replicate(std::size_t from, std::size_t to, std::uint64_t incarnation,
                                           const replicate_request& message)
{
    if (!m_instances[to].alive) {
        return;
    }
    // Serializes and parses only every eighth message, because doing so for all of them doubles the run time.
    const bool serialized = m_counts.events % 8 == 0;
    replica_store& store = *m_instances[to].store;
    const replicate_reply answer =
        serialized ? json(store.replicate(json(message).get<replicate_request>())).get<replicate_reply>()
                   : store.replicate(message);
    if (m_options.trace) {
        trace("replicate " + std::to_string(from) + " to " + std::to_string(to) + " items " +
              std::to_string(message.items.size()) + ": " + json(answer).dump());
    }
    send(to, from, [this, from, incarnation, reply = answer] { deliver_now(from, reply, incarnation); });
}

void partition_simulation::execute(std::size_t from, const send_fetch& it)
{
    const std::size_t to = std::stoul(it.backup.id.substr(1));
    const std::uint64_t incarnation = m_instances[from].incarnation;
    send(from, to, [this, from, to, incarnation, message = it.message] {
        instance& backup = m_instances[to];
        if (!backup.alive || backup.paused_until > m_now) {
            return;
        }
        const json wire = backup.store->fetch(message);
        send(to, from,
             [this, from, incarnation, reply = wire.get<fetch_reply>()] { deliver_now(from, reply, incarnation); });
    });
}

std::vector<log_item> partition_simulation::replica_items(const head_record& head)
{
    std::vector<log_item> items;
    for (instance& it : m_instances) {
        const backup_ref self{it.id, it.id, it.incarnation};
        if (!it.alive || std::ranges::count(head.backups, self) == 0) {
            continue;
        }
        // Fetches from a temporary copy of the store, so that the fetch does not raise the epoch of the replica.
        const fetch_reply copy = replica_store(*it.store).fetch({partition, head.epoch + 1, 0});
        if (copy.data_epoch == head.ready_epoch) {
            items.insert(items.end(), copy.items.begin(), copy.items.end());
        }
    }
    return items;
}

partition_simulation::recoverable partition_simulation::find_recoverable(const head_record& head)
{
    recoverable out;
    if (!head.snapshot.empty()) {
        out.image = *partition_image::decode(m_kv.entries().at(head.snapshot).value);
    }
    std::ranges::for_each(head.tail, [&out](const entry& it) { out.image.apply(it); });
    for (const std::string& key : head.segments) {
        const auto texts = decode_segment(m_kv.entries().at(key).value);
        for (const text_ref& it : *texts) {
            out.texts.insert(std::visit([](const auto& text) { return text.digest; }, *it));
        }
    }
    std::uint64_t next = head.sequence + 1;
    std::vector<log_item> items = replica_items(head);
    std::ranges::stable_sort(items, {}, &log_item::sequence);
    for (const log_item& it : items) {
        if (it.text) {
            out.texts.insert(std::visit([](const auto& text) { return text.digest; }, *it.text));
        }
        if (it.sequence == next) {
            out.image.apply(it.content);
            ++next;
        }
    }
    return out;
}

bool partition_simulation::allow_loss(caller_state& it, std::uint64_t epoch)
{
    // Entries of this epoch can also be lost in a later one, before the paused owner of this epoch replies.
    if (m_lossy_epochs.lower_bound(epoch) == m_lossy_epochs.end()) {
        return false;
    }
    it.loss_allowed = true;
    for (caller_state* parent = &it; !parent->parent.empty();) {
        parent = &m_callers.at(parent->parent);
        parent->loss_allowed = true;
    }
    return true;
}

void partition_simulation::check_recoverable()
{
    const head_record present = *head();
    const recoverable found = find_recoverable(present);
    for (auto& [id, it] : m_callers) {
        if (!it.open || it.loss_allowed) {
            continue;
        }
        const program_record* record = found.image.find(id);
        if (record == nullptr) {
            if (!allow_loss(it, it.open_epoch)) {
                report_violation("an acknowledged program was lost: " + id);
            }
            continue;
        }
        if (!fits(it.used, record->high_water_mark) && !allow_loss(it, present.ready_epoch)) {
            report_violation("a program has spent more than its high-water mark: " + id);
        }
        if (record->ended) {
            continue;
        }
        for (auto& [number, turn] : it.turns) {
            const bool recovered = record->turns >= number && found.texts.contains(turn.digest);
            if (!recovered && !allow_loss(it, turn.epoch)) {
                report_violation("an acknowledged turn was lost: " + id + " turn " + std::to_string(number));
            }
        }
    }
}

void partition_simulation::check_stored(caller_state& it, std::uint64_t number, std::uint64_t epoch)
{
    acknowledged_turn& turn = it.turns.at(number);
    const auto present = head();
    const auto contains_turn = [&turn](const log_item& item) {
        const auto* text = item.text ? std::get_if<turn_text>(item.text.get()) : nullptr;
        return text != nullptr && text->digest == turn.digest;
    };
    if (present && present->ready_epoch == epoch && std::ranges::any_of(replica_items(*present), contains_turn)) {
        return;
    }
    const bool flushed = present && find_recoverable(*present).texts.contains(turn.digest);
    if (!flushed && !allow_loss(it, epoch)) {
        report_violation("a turn was acknowledged before it was stored: " + it.program + " turn " +
                         std::to_string(number));
    }
}

void partition_simulation::check_open_stored(caller_state& it, std::uint64_t epoch)
{
    const auto present = head();
    const auto opens_program = [&it](const log_item& item) {
        const auto* opened = std::get_if<open_entry>(&item.content);
        return opened != nullptr && opened->program == it.program;
    };
    if (present && present->ready_epoch == epoch && std::ranges::any_of(replica_items(*present), opens_program)) {
        return;
    }
    const bool recovered = present && find_recoverable(*present).image.find(it.program) != nullptr;
    if (!recovered && !allow_loss(it, epoch)) {
        report_violation("a program was acknowledged before it was stored: " + it.program);
    }
}

// Engines and tools

void partition_simulation::mark_executed(std::size_t at, const std::string& program, std::uint64_t turn,
                                         const std::string& key)
{
    std::vector<open_request*> open;
    for (auto& [id, it] : m_instances[at].requests) {
        if (it.program == program && it.turn == turn && it.key == key) {
            open.push_back(&it);
        }
    }
    // With several open requests for the same turn or key it is unknown which one was executed.
    if (open.size() == 1) {
        open.front()->executed = true;
    }
}

void partition_simulation::spend(const std::string& program, const budget& amount)
{
    caller_state& it = m_callers.at(program);
    it.used = it.used + amount;
    for (caller_state* top = &it;; top = &m_callers.at(top->parent)) {
        check_budget(top->program);
        if (top->parent.empty()) {
            return;
        }
    }
}

void partition_simulation::check_budget(const std::string& program)
{
    const caller_state& top = m_callers.at(program);
    budget total;
    for (const auto& [id, it] : m_callers) {
        const bool inside = id == program || it.parent == program;
        total = inside ? total + it.used : total;
    }
    if (!fits(total, top.limits)) {
        report_violation("program " + program + " exceeds its budget");
    }
}

void partition_simulation::execute(std::size_t from, const start_engine_call& it)
{
    caller_state& owner = m_callers.at(it.program);
    std::size_t position = 0;
    for (const auto& [number, turn] : owner.turns) {
        if (number >= it.turn) {
            break;
        }
        for (const std::string& text : turn.messages) {
            const bool same = position < it.messages.size() && it.messages[position] == text;
            ++position;
            if (!same) {
                report_violation("an acknowledged turn is missing or changed in a later prompt of " + it.program);
            }
        }
        const bool same = position < it.messages.size() && it.messages[position] == turn.answer;
        ++position;
        if (!same) {
            report_violation("an acknowledged answer is missing or changed in a later prompt of " + it.program);
        }
    }
    for (const std::string& text : it.messages) {
        if (text.find(it.program + " ") == std::string::npos) {
            report_violation("the history of " + it.program + " contains a message of another program");
        }
    }
    std::uint64_t bytes = 0;
    for (const std::string& text : it.messages) {
        bytes += text.size();
    }
    const token_usage usage{bytes / 4, random_below(std::min(it.max_completion_tokens, max_completion) + 1)};
    const std::uint64_t incarnation = m_instances[from].incarnation;
    const std::uint64_t roll = random_below(100);
    if (roll < 3) {
        at(random_duration(1, 50), [this, from, incarnation, it] {
            deliver_now(from,
                        engine_failed{
                            it.call, it.epoch, result_code::no_target, execution_state::not_run, "no target", 100, {}},
                        incarnation);
        });
        return;
    }
    mark_executed(from, it.program, it.turn, {});
    spend(it.program, {usage.prompt + usage.completion, 1, 5 + usage.completion});
    if (roll < 5) {
        return;
    }
    if (roll < 10) {
        at(random_duration(1, 100), [this, from, incarnation, it] {
            deliver_now(from,
                        engine_failed{it.call, it.epoch, result_code::answer_cut, execution_state::run, "cut", 0, "t"},
                        incarnation);
        });
        return;
    }
    const json answer{{"role", "assistant"},
                      {"content", it.program + " turn " + std::to_string(it.turn) + " " + it.call}};
    const engine_completed completed{it.call, it.epoch, answer.dump(), usage, "t"};
    const auto arrive = [this, from, incarnation, completed] { deliver_now(from, completed, incarnation); };
    at(random_duration(2, 80), arrive);
    if (chance(15)) {
        at(random_duration(50, 400), arrive);
    }
}

void partition_simulation::execute(std::size_t /*from*/, const cancel_engine_call& /*it*/) {}

void partition_simulation::execute(std::size_t from, const send_tool_call& it)
{
    const std::uint64_t incarnation = m_instances[from].incarnation;
    const std::uint64_t roll = random_below(100);
    const std::uint64_t money = random_below(8);
    call_finished finished{it.call, it.epoch, it.attempt, call_status::completed, "result of " + it.call, money};
    if (roll < 6) {
        finished.status = call_status::not_sent;
        at(random_duration(1, 20), [this, from, incarnation, finished] { deliver_now(from, finished, incarnation); });
        return;
    }
    mark_executed(from, it.program, 0, it.key);
    at(random_duration(1, 30), [this, from, incarnation, it, finished, roll, money]() mutable {
        if (roll < 12) {
            finished.status = call_status::unknown;
        }
        else {
            spend(it.program, {0, 1, money});
            key_counts& counts = m_key_counts[it.program + " " + it.key];
            ++counts.executions;
            ++m_counts.executions;
            if (it.irreversible && counts.executions > 1) {
                report_violation("an irreversible call was executed twice: " + it.program + " " + it.key);
            }
            if (counts.not_run == counts.requests) {
                report_violation("a call was executed after all its requests were reported as not run: " + it.program +
                                 " " + it.key);
            }
            finished.status = roll < 20 ? call_status::unknown : call_status::completed;
        }
        if (roll < 24 && roll >= 20) {
            return;
        }
        at(random_duration(1, 60), [this, from, incarnation, finished] { deliver_now(from, finished, incarnation); });
    });
}

void partition_simulation::execute(std::size_t /*from*/, const release_engine_memory& /*it*/) {}

void partition_simulation::execute(std::size_t from, const partition_ready& it)
{
    ++m_counts.takeovers;
    const std::string writer = m_instances[from].id + "." + std::to_string(m_instances[from].incarnation);
    trace("ready " + writer + " epoch " + std::to_string(it.epoch));
    if (!m_epoch_writers.emplace(it.epoch, writer).second) {
        report_violation("two owners became ready in epoch " + std::to_string(it.epoch));
    }
}

void partition_simulation::execute(std::size_t from, const partition_lost& it)
{
    trace("lost " + m_instances[from].id);
    if (it.reason == loss_reason::handed_over) {
        ++m_counts.handovers;
        const std::size_t to = std::stoul(it.owner->id.substr(1));
        send(from, to, [this, to] { deliver(to, start_takeover{}); });
    }
}

// Callers

void partition_simulation::execute(std::size_t from, const owner_reply& it)
{
    instance& owner = m_instances[from];
    const auto found = owner.requests.find(it.request);
    if (found == owner.requests.end()) {
        report_violation("a request got two replies, or a reply has an unknown request id");
        return;
    }
    const open_request open = found->second;
    owner.requests.erase(found);
    const refusal* reason = std::get_if<refusal>(&it.result);
    m_counts.refusals += reason != nullptr ? 1 : 0;
    if (reason != nullptr && reason->run == execution_state::not_run && open.executed) {
        report_violation("a request was executed but reported as not run: " + open.program + " " + open.key);
    }
    if (reason != nullptr) {
        trace("refused " + open.program + " turn " + std::to_string(open.turn) + " key " + open.key + " " +
              std::string(to_string(reason->code)) + " " + reason->text);
        m_counts.unknown_outcomes += reason->run == execution_state::outcome_unknown ? 1 : 0;
    }
    if (!open.key.empty()) {
        key_counts& counts = m_key_counts[open.program + " " + open.key];
        counts.not_run += reason != nullptr && reason->run == execution_state::not_run ? 1 : 0;
        if (counts.executions > 0 && counts.not_run == counts.requests) {
            report_violation("all requests of an executed call were reported as not run: " + open.program + " " +
                             open.key);
        }
    }
    const result answer = it.result;
    const std::uint64_t epoch = owner.owner->epoch();
    // The reply is checked at once; the caller reacts to it later.
    open.done(&answer, epoch);
}

std::size_t partition_simulation::choose_instance()
{
    std::size_t best = random_below(instance_count);
    if (!faults_over() && chance(15)) {
        return best;
    }
    std::uint64_t highest = 0;
    for (std::size_t n = 0; n < instance_count; ++n) {
        const instance& it = m_instances[n];
        if (it.alive && it.owner->phase() == owner_phase::ready && it.owner->epoch() > highest) {
            highest = it.owner->epoch();
            best = n;
        }
    }
    return best;
}

void partition_simulation::request(event input, open_request record)
{
    if (!faults_over() && chance(10)) {
        open_request copy = record;
        copy.done = [inner = record.done](const result* it, std::uint64_t epoch) {
            if (it != nullptr) {
                inner(it, epoch);
            }
        };
        request_at(random_below(instance_count), input, std::move(copy));
    }
    request_at(choose_instance(), std::move(input), std::move(record));
}

void partition_simulation::request_at(std::size_t to, event input, open_request record)
{
    const request_id id = ++m_last_request;
    std::visit(
        [id](auto& it) {
            if constexpr (caller_event<std::decay_t<decltype(it)>>) {
                it.request = id;
            }
        },
        input);
    if (!record.key.empty()) {
        ++m_key_counts[record.program + " " + record.key].requests;
    }
    if (!m_instances[to].alive) {
        at(random_duration(1, 3), [done = std::move(record.done)] { done(nullptr, 0); });
        return;
    }
    m_instances[to].requests.emplace(id, std::move(record));
    at(random_duration(1, 3), [this, to, incarnation = m_instances[to].incarnation, input = std::move(input)] {
        deliver_now(to, input, incarnation);
    });
}

void partition_simulation::after(caller_state& it, timestamp pause)
{
    at(pause, [this, &it] { step(it); });
}

void partition_simulation::step(caller_state& it)
{
    if (it.abandoned || it.ended || it.final_turn) {
        return;
    }
    if (!it.open) {
        open(it);
        return;
    }
    if (faults_over()) {
        if (it.parent.empty()) {
            turn(it);
        }
        else {
            end(it);
        }
        return;
    }
    const std::uint64_t roll = random_below(100);
    if (!it.parent.empty() && roll < 15) {
        end(it);
        return;
    }
    if (roll < 30) {
        call(it);
        return;
    }
    if (roll < 35 && it.parent.empty()) {
        caller_state child;
        child.program = it.program + "c" + std::to_string(it.next_key++);
        child.parent = it.program;
        child.limits = {it.limits.tokens / 8, it.limits.calls / 8, it.limits.money / 8};
        caller_state& added = m_callers.emplace(child.program, child).first->second;
        after(added, timestamp{0});
    }
    turn(it);
}

void partition_simulation::open(caller_state& it)
{
    open_program input{.request = 0,
                       .program = it.program,
                       .parent = it.parent,
                       .account = "a",
                       .service = "s",
                       .limits = it.limits,
                       .high_water_mark_chunks = 16};
    request(std::move(input),
            {it.program, 0, {}, false, [this, &it](const result* answer, std::uint64_t epoch) {
                 const refusal* reason = refused(answer);
                 if (answer != nullptr && reason == nullptr) {
                     it.open_epoch = it.open ? it.open_epoch : epoch;
                     it.open = true;
                     check_open_stored(it, epoch);
                 }
                 const bool final =
                     reason != nullptr &&
                     (is_permanent(*reason) || reason->code == result_code::malformed ||
                      reason->code == result_code::not_stored || reason->code == result_code::budget_exhausted ||
                      reason->code == result_code::program_ended || reason->code == result_code::unknown_program);
                 it.abandoned = it.abandoned || (final && !it.open);
                 after(it, random_duration(1, 200));
             }});
}

void partition_simulation::turn(caller_state& it)
{
    if (it.busy) {
        return;
    }
    it.busy = true;
    const std::uint64_t number = it.turns.size() + 1;
    if (it.messages.empty()) {
        const std::uint64_t n = 1 + random_below(2);
        for (std::uint64_t i = 0; i < n; ++i) {
            it.messages.push_back(message(it.program, "turn " + std::to_string(number) + " part " + std::to_string(i)));
        }
    }
    begin_turn input{.request = 0,
                     .program = it.program,
                     .account = "a",
                     .number = number,
                     .full_history = chance(30),
                     .messages = it.messages,
                     .max_completion_tokens = max_completion,
                     .price = {5, 0, 1000},
                     .deadline = m_now + random_duration(1500, 4000)};
    if (input.full_history) {
        input.messages.clear();
        for (const auto& [n, done] : it.turns) {
            std::ranges::copy(done.messages, std::back_inserter(input.messages));
            input.messages.push_back(done.answer);
        }
        std::ranges::copy(it.messages, std::back_inserter(input.messages));
        input.number = chance(50) ? 0 : number;
    }
    auto pending = std::make_shared<bool>(true);
    request(std::move(input),
            {it.program,
             number,
             {},
             false,
             [this, &it, number, messages = it.messages, pending](const result* answer, std::uint64_t epoch) {
                 on_turn(it, number, messages, answer, epoch);
                 if (std::exchange(*pending, false)) {
                     it.busy = false;
                     after(it, refused(answer) == nullptr ? random_duration(1, 150) : random_duration(50, 500));
                 }
             }});
}

void partition_simulation::on_turn(caller_state& it, std::uint64_t number, const std::vector<std::string>& messages,
                                   const result* answer, std::uint64_t epoch)
{
    if (answer == nullptr) {
        return;
    }
    if (const refusal* reason = std::get_if<refusal>(answer)) {
        const bool permanent = is_permanent(*reason);
        if (permanent && m_lossy_epochs.empty()) {
            report_violation("a program is unavailable although no replica was lost: " + it.program);
        }
        const bool lost = permanent || (reason->code == result_code::unknown_program && it.loss_allowed);
        m_counts.lost_programs += lost && !it.abandoned ? 1 : 0;
        it.abandoned = it.abandoned || lost;
        it.abandoned = it.abandoned || reason->code == result_code::budget_exhausted;
        return;
    }
    const auto& done = std::get<success>(*answer);
    if (done.turn != number ||
        done.payload.find(it.program + " turn " + std::to_string(number) + " ") == std::string::npos) {
        report_violation("a caller received the answer of another turn: " + it.program + " turn " +
                         std::to_string(number));
        return;
    }
    const auto present = it.turns.find(number);
    if (present != it.turns.end()) {
        ++m_counts.repeated_turns;
        if (present->second.answer != done.payload) {
            report_violation("an acknowledged turn changed: " + it.program + " turn " + std::to_string(number));
        }
        return;
    }
    ++m_counts.turns;
    turn_text text{it.program, number,       number == 1 ? std::string() : it.turns.at(number - 1).digest,
                   messages,   done.payload, {}};
    it.turns[number] = {messages, done.payload, chain_digest(text), epoch};
    it.messages.clear();
    it.final_turn = faults_over();
    check_stored(it, number, epoch);
}

void partition_simulation::call(caller_state& it)
{
    begin_call input{.request = 0,
                     .program = it.program,
                     .account = "a",
                     .irreversible = chance(80),
                     .key = {},
                     .tool = "tool",
                     .arguments = "{}",
                     .max_money = 8,
                     .deadline = m_now + random_duration(300, 3000)};
    // The number of a key determines whether its call is irreversible, so that a reused key keeps its kind of call.
    const bool reuse_key = it.next_key > 0 && chance(35);
    const std::uint64_t number = reuse_key ? random_below(it.next_key) : it.next_key++;
    input.irreversible = number % 4 != 0;
    input.key = "k" + std::to_string(number);
    const std::string key = input.key;
    request(std::move(input), {it.program, 0, key, false,
                               [this, &it, key](const result* answer, std::uint64_t) { on_call(it, key, answer); }});
    after(it, random_duration(20, 300));
}

void partition_simulation::on_call(caller_state& it, const std::string& key, const result* answer)
{
    if (answer == nullptr || std::holds_alternative<refusal>(*answer)) {
        return;
    }
    const std::string& text = std::get<success>(*answer).payload;
    const auto [place, added] = m_results.emplace(it.program + " " + key, text);
    const bool irreversible = std::stoul(key.substr(1)) % 4 != 0;
    if (!added && place->second != text && irreversible) {
        report_violation("the result of a call changed: " + it.program + " " + key);
    }
}

void partition_simulation::end(caller_state& it)
{
    end_program input{.request = 0, .program = it.program, .account = "a", .reason = "done"};
    request(std::move(input), {it.program, 0, {}, false, [this, &it](const result* answer, std::uint64_t) {
                                   const refusal* reason = refused(answer);
                                   it.ended = it.ended || (answer != nullptr && reason == nullptr);
                                   const bool gone = reason != nullptr && reason->code == result_code::unknown_program;
                                   it.abandoned = it.abandoned || (gone && it.loss_allowed);
                                   after(it, random_duration(10, 200));
                               }});
}

bool partition_simulation::finished() const
{
    const bool callers_finished = std::ranges::all_of(m_callers, [](const auto& pair) {
        const caller_state& it = pair.second;
        return it.abandoned || it.ended || it.final_turn;
    });
    return callers_finished && std::ranges::all_of(m_instances, [](const instance& it) { return it.requests.empty(); });
}

void partition_simulation::check_end()
{
    for (const instance& it : m_instances) {
        if (!it.requests.empty()) {
            report_violation("a request never got a reply from " + it.id + ": " + it.requests.begin()->second.program);
        }
    }
    for (const auto& [id, it] : m_callers) {
        if (!it.abandoned && !it.ended && !it.final_turn) {
            report_violation("program " + id + " does not continue after the failures stopped");
        }
    }
}

} // namespace lagoonferry::test
