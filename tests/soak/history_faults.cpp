#include "history_faults.h"

#include "net/loop_deadline.h"
#include "net/pause.h"

#include <array>
#include <csignal>
#include <filesystem>

namespace lagoonferry::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds restart_delay{300};

/// Time that a node has to copy the turns that it lacks; only then another one may be lost.
constexpr milliseconds catch_up_time{4'400};

constexpr milliseconds poll_interval{10};

} // namespace

history_faults::history_faults(asio::any_io_executor loop, std::vector<std::unique_ptr<gateway_process>>& nodes,
                               std::vector<std::string> folders, std::uint64_t seed)
    : m_loop(std::move(loop)), m_nodes(nodes), m_folders(std::move(folders)),
      m_random(static_cast<std::minstd_rand::result_type>(2 * seed + 1))
{
}

std::size_t history_faults::random_below(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
}

asio::awaitable<void> history_faults::run(milliseconds duration)
{
    const deadline until = deadline_after(duration);
    while (loop_clock::now() < until) {
        co_await pause(m_loop, milliseconds(200 + random_below(800)));
        constexpr std::array kinds{fault::kill, fault::wipe, fault::wipe, fault::pause, fault::kill_all};
        const fault kind = kinds[random_below(kinds.size())];
        co_await inject(kind);
        co_await pause(m_loop, catch_up_time);
    }
}

asio::awaitable<void> history_faults::restart(std::size_t number, bool wipe)
{
    gateway_process& node = *m_nodes[number];
    node.send_signal(SIGKILL);
    co_await pause(m_loop, restart_delay);
    while (node.running()) {
        co_await pause(m_loop, poll_interval);
    }
    if (wipe) {
        std::filesystem::remove_all(m_folders[number]);
    }
    node.start(false);
}

asio::awaitable<void> history_faults::inject(fault kind)
{
    const std::size_t number = random_below(m_nodes.size());
    constexpr std::array names{"kill ", "wipe ", "pause ", "kill all, first "};
    m_events.push_back(names[static_cast<std::size_t>(kind)] + m_nodes[number]->id());
    if (kind == fault::pause) {
        m_nodes[number]->send_signal(SIGSTOP);
        co_await pause(m_loop, milliseconds(500 + random_below(2'500)));
        m_nodes[number]->send_signal(SIGCONT);
    }
    else if (kind == fault::kill_all) {
        for (const auto& node : m_nodes) {
            node->send_signal(SIGKILL);
        }
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            co_await restart(n, false);
        }
    }
    else {
        co_await restart(number, kind == fault::wipe);
    }
}

} // namespace lagoonferry::soak
