#include "fault_script.h"

#include "gateway_process.h"
#include "net/pause.h"
#include "net/spawn.h"
#include "platform/names.h"
#include "soak_store.h"
#include "soak_target.h"
#include "tcp_relay.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace lagoonferry::soak {

namespace {

using standin::relay_mode;
using std::chrono::milliseconds;

/// A process that ends is started again after this time, as on the platform.
constexpr milliseconds restart_pause{300};

/// Time between SIGTERM and SIGKILL, as in the gateways' settings.
constexpr milliseconds stop_grace{8'000};

constexpr milliseconds poll_interval{20};

nlohmann::json route_json(const char* name, const char* kind, const char* service, bool resumable, int attempts)
{
    return {{"name", name},       {"host", "h.example"},    {"pathPrefix", std::string("/") + name + "/"},
            {"service", service}, {"kind", kind},           {"timeoutMs", 5'000},
            {"sloMs", 200},       {"gapAimMs", 400},        {"priority", 1},
            {"sticky", true},     {"resumable", resumable}, {"maxAttempts", attempts}};
}

} // namespace

std::string document_text(std::uint64_t version)
{
    return nlohmann::json{
        {"version", version},
        {"routes",
         {route_json("safe", "safe", "tools", false, 2), route_json("unsafe", "unsafe", "tools", false, 1),
          route_json("stream", "streaming", "models", true, 3)}},
        {"services",
         {{{"name", "tools"}, {"maxConns", 300}},
          {{"name", "models"}, {"maxConns", 300}, {"engine", {{"eventTokens", 8}, {"kvCapacity", 90'000}}}}}},
        {"limits",
         {{"maxHeaderBytes", 16'384},
          {"maxBodyBytes", 1'048'576},
          {"headerTimeoutMs", 5'000},
          {"idleTimeoutMs", 10'000}}}}
        .dump();
}

fault_script::fault_script(const asio::any_io_executor& loop, fault_subjects subjects, std::uint64_t seed)
    : m_loop(loop), m_on(subjects), m_random(static_cast<std::minstd_rand::result_type>(2 * seed + 1)),
      m_started(loop_clock::now()), m_busy(subjects.gateways.size(), false)
{
}

milliseconds fault_script::between(int least_ms, int most_ms)
{
    return milliseconds(std::uniform_int_distribution<int>(least_ms, most_ms)(m_random));
}

std::size_t fault_script::index(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
}

void fault_script::note(std::string text)
{
    const auto at = std::chrono::duration_cast<milliseconds>(loop_clock::now() - m_started);
    m_events.push_back(std::to_string(at.count()) + " ms " + std::move(text));
}

asio::awaitable<void> fault_script::run(milliseconds span)
{
    m_started = loop_clock::now();
    while (loop_clock::now() - m_started < span) {
        co_await pause(m_loop, between(150, 1'500));
        ++m_under_way;
        spawn(m_loop, inject(), "fault");
    }
    while (m_under_way > 0) {
        co_await pause(m_loop, poll_interval);
    }
}

asio::awaitable<void> fault_script::inject()
{
    constexpr std::array faults{
        &fault_script::kill_gateway,       &fault_script::pause_gateway,  &fault_script::stop_gateway,
        &fault_script::disturb_store,      &fault_script::compact_store,  &fault_script::disturb_store_way,
        &fault_script::disturb_target_way, &fault_script::disturb_target, &fault_script::replace_target,
        &fault_script::change_document,    &fault_script::reload_gateway, &fault_script::kill_all};
    const fault chosen = faults[index(faults.size())];
    co_await (this->*chosen)();
    --m_under_way;
}

asio::awaitable<void> fault_script::kill_gateway()
{
    const std::size_t n = index(m_busy.size());
    if (m_busy[n]) {
        co_return;
    }
    m_busy[n] = true;
    gateway_process& process = *m_on.gateways[n];
    note("kill " + process.id());
    process.send_signal(SIGKILL);
    co_await pause(m_loop, restart_pause + between(0, 2'000));
    while (process.running()) {
        co_await pause(m_loop, poll_interval);
    }
    process.start(false);
    note("start " + process.id());
    m_busy[n] = false;
}

asio::awaitable<void> fault_script::kill_all()
{
    std::vector<std::size_t> taken;
    for (std::size_t n = 0; n < m_busy.size(); ++n) {
        if (!m_busy[n]) {
            m_busy[n] = true;
            taken.push_back(n);
            m_on.gateways[n]->send_signal(SIGKILL);
        }
    }
    note("kill all " + std::to_string(taken.size()));
    co_await pause(m_loop, restart_pause);
    for (const std::size_t n : taken) {
        while (m_on.gateways[n]->running()) {
            co_await pause(m_loop, poll_interval);
        }
        m_on.gateways[n]->start(false);
        m_busy[n] = false;
    }
}

asio::awaitable<void> fault_script::pause_gateway()
{
    const std::size_t n = index(m_busy.size());
    if (m_busy[n]) {
        co_return;
    }
    m_busy[n] = true;
    note("pause " + m_on.gateways[n]->id());
    m_on.gateways[n]->send_signal(SIGSTOP);
    co_await pause(m_loop, between(200, 4'000));
    m_on.gateways[n]->send_signal(SIGCONT);
    note("resume " + m_on.gateways[n]->id());
    m_busy[n] = false;
}

asio::awaitable<void> fault_script::stop_gateway()
{
    const std::size_t n = index(m_busy.size());
    if (m_busy[n]) {
        co_return;
    }
    m_busy[n] = true;
    gateway_process& process = *m_on.gateways[n];
    note("stop " + process.id());
    process.send_signal(SIGTERM);
    const auto kill_at = loop_clock::now() + stop_grace;
    while (process.running()) {
        if (loop_clock::now() > kill_at) {
            process.send_signal(SIGKILL);
        }
        co_await pause(m_loop, poll_interval);
    }
    co_await pause(m_loop, restart_pause);
    process.start(false);
    note("start " + process.id());
    m_busy[n] = false;
}

asio::awaitable<void> fault_script::reload_gateway()
{
    const std::size_t n = index(m_busy.size());
    note("reload " + m_on.gateways[n]->id());
    if (!m_busy[n]) {
        m_on.gateways[n]->send_signal(SIGHUP);
    }
    co_return;
}

asio::awaitable<void> fault_script::disturb_store()
{
    constexpr std::array modes{soak_store::mode::refuse, soak_store::mode::lose_answer, soak_store::mode::slow};
    const std::size_t n = index(modes.size());
    note("store in mode " + std::to_string(n));
    m_on.store.set_mode(modes[n]);
    co_await pause(m_loop, between(300, 3'500));
    m_on.store.set_mode(soak_store::mode::serve);
    note("store serves");
}

asio::awaitable<void> fault_script::compact_store()
{
    note("store drops its history");
    m_on.store.compact();
    co_return;
}

asio::awaitable<void> fault_script::disturb_way(standin::tcp_relay& relay, std::string name)
{
    constexpr std::array modes{relay_mode::refuse, relay_mode::drop, relay_mode::drop_answers, relay_mode::delay};
    const std::size_t n = index(modes.size());
    note("way to " + name + " in mode " + std::to_string(n));
    relay.set_mode(modes[n], between(5, 120));
    co_await pause(m_loop, between(300, 4'000));
    relay.set_mode(relay_mode::pass);
    note("way to " + name + " is clear");
}

asio::awaitable<void> fault_script::disturb_store_way()
{
    const std::string name = "the store";
    co_await disturb_way(m_on.store_relay, name);
}

asio::awaitable<void> fault_script::disturb_target_way()
{
    const std::size_t n = index(m_on.targets.size());
    const std::string name = "target " + std::to_string(n);
    co_await disturb_way(m_on.targets[n]->relay(), name);
}

asio::awaitable<void> fault_script::disturb_target()
{
    const std::size_t n = index(m_on.targets.size());
    constexpr double share = 0.3;
    soak_target::faults faults;
    constexpr std::array members{&soak_target::faults::lose_answer, &soak_target::faults::refuse,
                                 &soak_target::faults::break_off, &soak_target::faults::fail};
    const std::size_t kind = index(members.size());
    faults.*members[kind] = share;
    note("target " + std::to_string(n) + " with fault " + std::to_string(kind));
    m_on.targets[n]->set_faults(faults);
    co_await pause(m_loop, between(500, 4'000));
    m_on.targets[n]->set_faults({});
    note("target " + std::to_string(n) + " is sound");
}

asio::awaitable<void> fault_script::replace_target()
{
    const std::size_t n = index(m_on.targets.size());
    note("target " + std::to_string(n) + " drains");
    m_on.targets[n]->announce(true);
    co_await pause(m_loop, between(500, 2'000));
    m_on.targets[n]->withdraw();
    co_await pause(m_loop, between(500, 1'500));
    m_on.targets[n]->restart();
    m_on.targets[n]->announce(false);
    note("target " + std::to_string(n) + " is back");
}

asio::awaitable<void> fault_script::change_document()
{
    m_version += 1 + index(5);
    note("document " + std::to_string(m_version));
    m_on.store.put(std::string(platform::wire_names::config_key), document_text(m_version));
    co_return;
}

} // namespace lagoonferry::soak
