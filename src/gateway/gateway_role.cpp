#include "gateway/gateway_role.h"

#include "gateway/client_session.h"
#include "gateway/gateway_context.h"
#include "gateway/gateway_registry.h"
#include "gateway/load_exchange.h"
#include "gateway/role_settings.h"
#include "gateway/routing_document_sync.h"
#include "gateway/target_list_sync.h"
#include "net/pause.h"
#include "net/spawn.h"
#include "settings/docopt_args.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

const std::string gateway_usage = R"(Serves callers of a platform that routes requests by host and path.

Usage:
  lagoonferry gateway [--settings=<file>] [--log-level=<level>] [--check-settings]
  lagoonferry gateway --help

Options:
  --settings=<file>    Settings file; by default the one that the platform provides.
  --log-level=<level>  debug, info, warning, error or off [default: info].
  --check-settings     Check the settings, print errors, and exit.
  --help               Print this text.
)";

const std::string standby_usage =
    R"(Does nothing until SIGTERM. Occupies a machine with a disk without storing anything.

Usage:
  lagoonferry standby
  lagoonferry standby --help

Options:
  --help  Print this text.
)";

/// Interval at which expired idle connections are closed.
constexpr milliseconds expiry_interval{1'000};

constexpr milliseconds stop_poll_interval{100};

/// A running gateway process.
class gateway_process {
public:
    gateway_process(const gateway_platform& platform, std::string settings_path, gateway_settings settings)
        : m_platform(platform), m_settings_path(std::move(settings_path)),
          m_context(m_loop.get_executor(), std::move(settings), *platform.adapter), m_target_sync(m_context),
          m_document_sync(m_context), m_load_exchange(m_context)
    {
    }

    bool start()
    {
        const auto store = store_endpoint(m_context.settings);
        if (!store || !m_context.fleet.start()) {
            return false;
        }
        m_context.store.set_address(*store);
        m_context.budgets.start();
        m_context.limits.start();
        m_document_sync.start();
        m_target_sync.start();
        m_load_exchange.start();
        spawn_restarting(
            m_context.loop, [this] { return register_gateway(m_context); }, "registration");
        spawn_restarting(
            m_context.loop, [this] { return close_expired_connections(); }, "connection sweep");
        spawn(m_context.loop, wait_for_stop(), "stop signal");
        spawn(m_context.loop, wait_for_reload(), "reload signal");
        const gateway_settings& settings = m_context.settings;
        return listen_for_sessions(m_context, settings.callers, listener_kind::callers) &&
               listen_for_sessions(m_context, settings.readiness, listener_kind::local) &&
               (settings.peers.port == 0 || listen_for_sessions(m_context, settings.peers, listener_kind::peers)) &&
               (settings.lookup.port == 0 || listen_for_sessions(m_context, settings.lookup, listener_kind::local));
    }

    void run() { m_loop.run(); }

private:
    asio::awaitable<void> close_expired_connections()
    {
        while (true) {
            co_await pause(m_context.loop, expiry_interval);
            m_context.pool.sweep(
                [this](std::string_view key) { return m_context.targets.listed(key.substr(0, key.find('/'))); });
        }
    }

    asio::awaitable<void> wait_for_reload()
    {
        asio::signal_set signals(m_context.loop, SIGHUP);
        while (true) {
            const auto [ec, number] = co_await signals.async_wait(use_nothrow_awaitable);
            if (ec) {
                co_return;
            }
            reload();
        }
    }

    // Addresses of listeners cannot change while callers use them; the store's address and the seeds can.
    void reload()
    {
        failure reason;
        const auto settings = load_role_settings(m_platform, m_settings_path, reason);
        if (!settings) {
            log(log_part::main, log_level::error, "The new settings cannot be used; the present ones stay in force.",
                field("reason", reason.text));
            return;
        }
        if (const auto store = store_endpoint(*settings)) {
            m_context.store.set_address(*store);
        }
        m_context.fleet.set_seeds(settings->seed_ips);
        log(log_part::main, log_level::info, "Settings were reloaded.", field("store", settings->store.ip));
    }

    asio::awaitable<void> wait_for_stop()
    {
        asio::signal_set signals(m_context.loop, SIGTERM, SIGINT);
        co_await signals.async_wait(use_nothrow_awaitable);
        log(log_part::main, log_level::info, "Stopping.", field("requests", m_context.active_requests),
            field("connections", m_context.caller_connections));
        m_context.stop.begin(m_context.settings.stop_grace, steady_now());
        m_context.fleet.leave();
        m_context.budgets.hand_over();
        m_context.limits.hand_over();
        do {
            co_await pause(m_context.loop, stop_poll_interval);
        } while (!m_context.stop.may_exit(m_context.active_requests, steady_now()));
        log(log_part::main, log_level::info, "Stopped.", field("requests", m_context.active_requests));
        m_loop.stop();
    }

    gateway_platform m_platform;
    std::string m_settings_path;
    asio::io_context m_loop{1};
    gateway_context m_context;
    target_list_sync m_target_sync;
    routing_document_sync m_document_sync;
    load_exchange m_load_exchange;
};

} // namespace

int run_gateway_role(const gateway_platform& platform, const std::vector<std::string>& args)
{
    // Without this a SIGHUP that arrives before the handler is installed would end the process. The settings are read
    // after this, so nothing is missed.
    ::signal(SIGHUP, SIG_IGN);
    const docopt_result options = parse_docopt("gateway", gateway_usage, args, std::cout, std::cerr);
    if (!options.values) {
        return options.status;
    }
    auto start = read_role_options(platform, *options.values, std::cout, std::cerr);
    if (!start.settings) {
        return start.status;
    }
    configure_nonblocking_log(start.level);
    gateway_process process(platform, start.settings_path, std::move(*start.settings));
    if (!process.start()) {
        return exit_refused;
    }
    log(log_part::main, log_level::info, "Started.", field("settings", start.settings_path));
    process.run();
    return exit_done;
}

int run_standby_role(const std::vector<std::string>& args)
{
    const docopt_result options = parse_docopt("standby", standby_usage, args, std::cout, std::cerr);
    if (!options.values) {
        return options.status;
    }
    asio::io_context loop{1};
    ::signal(SIGHUP, SIG_IGN); // this process has no settings to reload
    asio::signal_set signals(loop, SIGTERM, SIGINT);
    signals.async_wait([&loop](const error_code& /*ec*/, int /*number*/) { loop.stop(); });
    loop.run();
    return exit_done;
}

} // namespace lagoonferry
