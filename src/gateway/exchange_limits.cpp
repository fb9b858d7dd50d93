#include "gateway/exchange.h"

#include "net/pause.h"

#include <algorithm>
#include <random>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// A request of a running program waits this long at most, and not longer than this part of the time that it has left,
/// for the limit to allow it. Each refused turn costs a program more than the wait.
constexpr milliseconds max_limit_wait{1'500};
constexpr int limit_wait_part = 3;

/// The first request of a program waits less: a program that is refused at its start has cost nothing yet.
constexpr milliseconds max_start_wait{300};

constexpr milliseconds min_limit_retry_delay{100};

/// Adds up to a quarter, so that requests that are refused together do not come back together.
milliseconds spread(milliseconds delay)
{
    constexpr int spread_part = 4;
    static thread_local std::minstd_rand random{std::random_device{}()};
    const milliseconds base = std::max(delay, min_limit_retry_delay);
    return base + milliseconds(std::uniform_int_distribution<std::int64_t>(0, base.count() / spread_part)(random));
}

} // namespace

asio::awaitable<bool> exchange::check_request_limit()
{
    if (m_account == nullptr || m_account->limit.unlimited()) {
        co_return true;
    }
    const milliseconds longest = m_first_turn ? max_start_wait : max_limit_wait;
    const milliseconds left = std::max(time_left(m_deadline), milliseconds{}) / limit_wait_part;
    limit_demand demand;
    demand.starts_program = m_first_turn;
    demand.max_wait = std::min(longest, left);
    const limit_result result = co_await m_context.limits.acquire(m_account->name, demand);
    const auto delay = std::chrono::ceil<milliseconds>(result.delay);
    if (!result.granted) {
        m_context.metrics.on_limit_decision("refused");
        const std::string granter = result.granter.empty() ? "this gateway, as no owner responds" : result.granter;
        const std::string reason = "the request limit of the account is reached, decided by " + granter;
        co_await send_own_response(429, "the request limit of the account is reached", spread(delay));
        record_result("refused_429", reason);
        co_return false;
    }
    m_limit_granter = result.granter;
    m_context.metrics.on_limit_decision(delay > milliseconds{} ? "delayed" : "granted");
    if (delay > milliseconds{}) {
        co_await pause(m_context.loop, delay);
    }
    co_return true;
}

void exchange::count_run()
{
    if (++m_runs > 1 && m_limit_granter) {
        m_context.limits.charge(m_account->name, *m_limit_granter);
    }
}

void exchange::settle_request_limit()
{
    if (m_limit_granter && m_runs == 0) {
        m_context.limits.give_back(m_account->name, *m_limit_granter);
    }
}

} // namespace lagoonferry
