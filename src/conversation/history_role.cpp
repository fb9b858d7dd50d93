#include "conversation/history_role.h"

#include "conversation/history_node.h"
#include "gateway/platform_adapter.h"
#include "gateway/role_settings.h"
#include "net/spawn.h"
#include "settings/docopt_args.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace lagoonferry {

namespace {

const std::string usage = R"(Keeps turns of conversations on the disk of this machine and serves them to gateways.

Usage:
  lagoonferry history [--settings=<file>] [--log-level=<level>] [--check-settings]
  lagoonferry history --help

Options:
  --settings=<file>    Settings file; by default the one that the platform provides.
  --log-level=<level>  debug, info, warning, error or off [default: info].
  --check-settings     Check the settings, print errors, and exit.
  --help               Print this text.
)";

/// A running history node process.
class history_process {
public:
    history_process(const gateway_platform& platform, const gateway_settings& settings, const tcp::endpoint& store)
        : m_store(m_loop.get_executor(), *platform.adapter, [](std::string_view /*call*/, store_status /*result*/) {}),
          m_peers(m_loop.get_executor(), m_store), m_node(m_loop.get_executor(), node_settings(settings), m_peers)
    {
        m_store.set_address(store);
    }

    bool run()
    {
        if (!m_node.start()) {
            return false;
        }
        ::signal(SIGHUP, SIG_IGN); // nothing that the settings file can change is in use after the start
        asio::signal_set signals(m_loop, SIGTERM, SIGINT);
        signals.async_wait([this](const error_code& /*ec*/, int /*number*/) { m_loop.stop(); });
        m_loop.run();
        log(log_part::main, log_level::info, "Stopped.", field("turns", m_node.turns().size()));
        return true;
    }

private:
    static history_node_settings node_settings(const gateway_settings& settings)
    {
        history_node_settings out;
        out.id = settings.id;
        out.ip = settings.ip;
        out.port = settings.datagram_port;
        out.failure_domain = settings.failure_domain;
        out.data_folder = settings.data_folder;
        out.first_start = settings.first_start;
        out.tolerated_losses = settings.tolerated_losses;
        return out;
    }

    asio::io_context m_loop{1};
    store_client m_store;
    history_peers m_peers;
    history_node m_node;
};

} // namespace

int run_history_role(const gateway_platform& platform, const std::vector<std::string>& args)
{
    const docopt_result options = parse_docopt("history", usage, args, std::cout, std::cerr);
    if (!options.values) {
        return options.status;
    }
    const auto start = read_role_options(platform, *options.values, std::cout, std::cerr);
    if (!start.settings) {
        return start.status;
    }
    const auto store = store_endpoint(*start.settings);
    if (start.settings->data_folder.empty() || !store) {
        std::cerr << "settings: a history node needs a folder for its data and the address of the store\n";
        return exit_refused;
    }
    configure_nonblocking_log(start.level);
    history_process process(platform, *start.settings, *store);
    log(log_part::main, log_level::info, "Started.", field("node", start.settings->id));
    return process.run() ? exit_done : exit_refused;
}

} // namespace lagoonferry
