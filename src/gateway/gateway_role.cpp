#include "gateway/gateway_role.h"

#include "gateway/client_session.h"
#include "gateway/gateway_context.h"
#include "gateway/gateway_registry.h"
#include "gateway/load_exchange.h"
#include "gateway/routing_document_sync.h"
#include "gateway/target_list_sync.h"
#include "net/pause.h"
#include "net/spawn.h"
#include "settings/docopt_args.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

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

/// Time reserved between the end of a graceful stop and the platform's SIGKILL.
constexpr milliseconds kill_margin{500};

/// A stopping gateway may exit after this time without requests, once callers no longer use its address.
constexpr milliseconds idle_before_exit{600};
constexpr milliseconds stop_poll_interval{100};

/// Callers may use an address three times as long as its time to live of 2 s.
constexpr milliseconds address_lifetime{6'000};

std::optional<log_level> parse_log_level(std::string_view text)
{
    struct row {
        std::string_view name;
        log_level level;
    };
    constexpr std::array rows{row{"debug", log_level::debug}, row{"info", log_level::info},
                              row{"warning", log_level::warning}, row{"error", log_level::error},
                              row{"off", log_level::off}};
    const auto* it = std::ranges::find(rows, text, &row::name);
    return it == rows.end() ? std::nullopt : std::optional(it->level);
}

std::optional<gateway_settings> load_settings(const gateway_platform& platform, const std::string& path,
                                              failure& reason)
{
    std::ifstream in(path);
    if (!in) {
        reason = {result_code::setting_invalid, "cannot open the settings file " + path};
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return platform.read_settings(text.str(), reason);
}

std::optional<tcp::endpoint> store_endpoint(const gateway_settings& settings)
{
    error_code ec;
    const auto ip = asio::ip::make_address(settings.store.ip, ec);
    return ec ? std::nullopt : std::optional(tcp::endpoint(ip, settings.store.port));
}

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
        m_document_sync.start();
        m_target_sync.start();
        m_load_exchange.start();
        spawn(m_context.loop, register_gateway(m_context), "registration");
        spawn(m_context.loop, close_expired_connections(), "connection sweep");
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
        const auto settings = load_settings(m_platform, m_settings_path, reason);
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
        const deadline started_at = loop_clock::now();
        const milliseconds max_stop_time = m_context.settings.stop_grace - kill_margin;
        log(log_part::main, log_level::info, "Stopping.", field("requests", m_context.active_requests),
            field("connections", m_context.caller_connections));
        m_context.stopping = true;
        m_context.fleet.leave();
        m_context.budgets.hand_over();
        deadline idle_since = started_at;
        while (loop_clock::now() - started_at < max_stop_time) {
            co_await pause(m_context.loop, stop_poll_interval);
            const deadline now = loop_clock::now();
            idle_since = m_context.active_requests > 0 ? now : idle_since;
            if (now - started_at >= address_lifetime && now - idle_since >= idle_before_exit) {
                break;
            }
        }
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
    const docopt_result options = parse_docopt("gateway", gateway_usage, args, std::cout, std::cerr);
    if (!options.values) {
        return options.status;
    }
    const auto level = parse_log_level(argument_value(*options.values, "--log-level").value_or("info"));
    if (!level) {
        std::cerr << "--log-level: allowed are debug, info, warning, error and off\n";
        return exit_usage;
    }
    const std::string path = argument_value(*options.values, "--settings").value_or(platform.settings_path());
    failure reason;
    auto settings = load_settings(platform, path, reason);
    if (!settings) {
        std::cerr << "settings: " << reason.text << '\n';
        return exit_refused;
    }
    if (has_flag(*options.values, "--check-settings")) {
        std::cout << "settings of " << settings->id << " are valid\n";
        return exit_done;
    }
    configure_nonblocking_log(*level);
    gateway_process process(platform, path, std::move(*settings));
    if (!process.start()) {
        return exit_refused;
    }
    log(log_part::main, log_level::info, "Started.", field("settings", path));
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
