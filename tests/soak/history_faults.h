#pragma once

#include "gateway_process.h"
#include "net/http_types.h"

#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lagoonferry::soak {

/// Kills, pauses and wipes history nodes, one at a time: the next fault begins when the node of the one before has had
/// time to copy what it lacks. Also kills all of them at once, with their disks kept. Runs on one event loop; not
/// thread-safe.
class history_faults {
public:
    /// `nodes` and `events` must outlive this object. `folders` are the disks of the nodes.
    history_faults(asio::any_io_executor loop, std::vector<std::unique_ptr<gateway_process>>& nodes,
                   std::vector<std::string> folders, std::uint64_t seed);

    /// Injects faults for `duration`, and returns when the last one has ended.
    asio::awaitable<void> run(std::chrono::milliseconds duration);

    const std::vector<std::string>& events() const { return m_events; }

private:
    enum class fault { kill, wipe, pause, kill_all };

    asio::awaitable<void> inject(fault kind);
    asio::awaitable<void> restart(std::size_t number, bool wipe);
    std::size_t random_below(std::size_t count);

    asio::any_io_executor m_loop;
    std::vector<std::unique_ptr<gateway_process>>& m_nodes;
    std::vector<std::string> m_folders;
    std::minstd_rand m_random;
    std::vector<std::string> m_events;
};

} // namespace lagoonferry::soak
