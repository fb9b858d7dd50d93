#pragma once

#include "net/http_types.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lagoonferry::standin {
class tcp_relay;
} // namespace lagoonferry::standin

namespace lagoonferry::soak {

class gateway_process;
class soak_store;
class soak_target;

/// What a fault script acts on.
struct injection_points {
    std::vector<std::unique_ptr<gateway_process>>& gateways;
    standin::tcp_relay& store_relay;
    std::vector<std::unique_ptr<soak_target>>& targets;
    soak_store& store;
};

/// Injects random faults from outside the processes, in series and overlapping, and mends each after its time. Runs on
/// one event loop; not thread-safe.
class fault_injector {
public:
    fault_injector(const asio::any_io_executor& loop, injection_points subjects, std::uint64_t seed);

    /// Injects faults for `span`, and returns when all of them are mended.
    asio::awaitable<void> run(std::chrono::milliseconds span);

    /// Sets the number of gateways, once all of them exist.
    void set_gateway_count(std::size_t count) { m_gateway_faulted.assign(count, false); }

    /// Lines on what was done, with the time since the start.
    const std::vector<std::string>& events() const { return m_events; }

private:
    using fault = asio::awaitable<void> (fault_injector::*)();

    asio::awaitable<void> inject();
    asio::awaitable<void> kill_gateway();
    asio::awaitable<void> pause_gateway();
    asio::awaitable<void> stop_gateway();
    asio::awaitable<void> kill_all_gateways();
    asio::awaitable<void> reload_gateway();
    asio::awaitable<void> degrade_store();
    asio::awaitable<void> compact_store();
    asio::awaitable<void> disrupt_store_link();
    asio::awaitable<void> disrupt_target_link();
    asio::awaitable<void> degrade_target();
    asio::awaitable<void> replace_target();
    asio::awaitable<void> change_document();
    asio::awaitable<void> disrupt_link(standin::tcp_relay& relay, std::string name);

    std::chrono::milliseconds random_delay(int least_ms, int most_ms);
    std::size_t random_index(std::size_t count);
    void log_event(std::string text);

    asio::any_io_executor m_loop;
    injection_points m_points;
    std::minstd_rand m_random;
    loop_clock::time_point m_started;
    std::vector<std::string> m_events;
    std::vector<bool> m_gateway_faulted; ///< gateways with a fault of their process
    std::uint64_t m_version = 1;
    int m_active_faults = 0;
};

/// Returns the routing document of the soak as the operator writes it.
std::string document_text(std::uint64_t version);

} // namespace lagoonferry::soak
