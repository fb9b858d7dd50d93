#include "gateway/limit_coordinator.h"

#include "net/spawn.h"
#include "util/log.h"

#include <nlohmann/json.hpp>

#include <array>
#include <random>

namespace lagoonferry {

namespace {

/// Kinds of the datagrams, in the order of the alternatives of `limit_message`.
constexpr std::array message_kinds{datagram_kind::limit_request, datagram_kind::limit_reply,
                                   datagram_kind::limit_adjustment, datagram_kind::limit_copy};

std::uint64_t random_id()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>(1)(device);
}

} // namespace

limit_coordinator::limit_coordinator(asio::any_io_executor loop, fleet_membership& fleet,
                                     const std::shared_ptr<const route_table>& routes)
    : m_loop(std::move(loop)), m_fleet(fleet), m_routes(routes), m_limiter(*this, random_id()), m_timer(m_loop)
{
}

template <class Message>
void limit_coordinator::handle(datagram_kind kind, std::optional<Message> (*parse)(const nlohmann::json&))
{
    m_fleet.on(kind, [this, parse](const std::string& sender, const nlohmann::json& body) {
        if (const auto message = parse(body)) {
            m_limiter.receive(sender, *message, steady_now());
            wake_timer();
        }
    });
}

void limit_coordinator::start()
{
    handle(datagram_kind::limit_request, &limit_request_from);
    handle(datagram_kind::limit_reply, &limit_reply_from);
    handle(datagram_kind::limit_adjustment, &limit_adjustment_from);
    handle(datagram_kind::limit_copy, &limit_copy_from);
    spawn_restarting(
        m_loop, [this] { return run_timer(); }, "request limits");
}

asio::awaitable<void> limit_coordinator::run_timer()
{
    while (true) {
        const timestamp now = steady_now();
        m_fleet.detect_pause();
        m_limiter.run_due(now);
        m_wakes_at = m_limiter.next_due();
        m_timer.expires_after(std::max(m_wakes_at - now, timestamp{}));
        co_await m_timer.async_wait(use_nothrow_awaitable);
    }
}

void limit_coordinator::wake_timer()
{
    if (m_limiter.next_due() < m_wakes_at) {
        m_timer.cancel();
    }
}

asio::awaitable<limit_result> limit_coordinator::acquire(std::string account, limit_demand demand)
{
    // The demand may be decided after the caller has gone, so the handler shares the state.
    struct pending_result {
        explicit pending_result(const asio::any_io_executor& loop) : wake(loop, asio::steady_timer::time_point::max())
        {
        }
        asio::steady_timer wake;
        std::optional<limit_result> result;
    };
    const auto pending = std::make_shared<pending_result>(m_loop);
    m_fleet.detect_pause();
    m_limiter.acquire(account, demand, steady_now(), [pending](const limit_result& result) {
        pending->result = result;
        pending->wake.cancel();
    });
    wake_timer();
    if (!pending->result) {
        co_await pending->wake.async_wait(use_nothrow_awaitable);
    }
    co_return pending->result.value_or(limit_result{});
}

void limit_coordinator::give_back(const std::string& account, const std::string& granter)
{
    m_limiter.give_back(account, granter, steady_now());
    wake_timer();
}

void limit_coordinator::charge(const std::string& account, const std::string& granter)
{
    m_limiter.charge(account, granter, steady_now());
    wake_timer();
}

void limit_coordinator::hand_over()
{
    m_limiter.hand_over(steady_now());
}

const std::string& limit_coordinator::own_id() const
{
    return m_fleet.own_id();
}

std::vector<std::string> limit_coordinator::ranked(std::string_view key) const
{
    return m_fleet.ranked(key);
}

double limit_coordinator::reachable_share() const
{
    return m_fleet.reachable_share();
}

std::size_t limit_coordinator::gateway_count() const
{
    return m_fleet.gateway_count();
}

bool limit_coordinator::would_have_record(std::string_view key) const
{
    return m_fleet.well_connected() && m_fleet.is_replica_of(key, request_limiter::replica_count);
}

timestamp limit_coordinator::settled_since() const
{
    return m_fleet.settled_since();
}

std::uint64_t limit_coordinator::rejoins() const
{
    return m_fleet.rejoins();
}

std::optional<request_limit> limit_coordinator::limit_of(std::string_view account) const
{
    const client_account* found = m_routes == nullptr ? nullptr : m_routes->account_named(account);
    return found == nullptr ? std::nullopt : std::optional(found->limit);
}

void limit_coordinator::send(const std::string& to, const limit_message& message)
{
    m_fleet.send(to, message_kinds.at(message.index()),
                 std::visit([](const auto& item) { return to_json(item); }, message));
}

} // namespace lagoonferry
