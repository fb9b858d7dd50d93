#include "options.h"
#include "standin_set.h"

#include <csignal>
#include <iostream>

using namespace lagoonferry::standin;

namespace {

constexpr int exit_usage = 2;
constexpr int exit_port_taken = 3;

/// Blocks SIGTERM and SIGINT for this thread and the threads that it starts.
sigset_t block_end_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

} // namespace

int main(int argc, char** argv)
{
    const auto opts = parse_options(argc, argv);
    if (!opts) {
        return exit_usage;
    }
    const sigset_t signals = block_end_signals();
    standin_set standins;
    if (!standins.start(*opts)) {
        std::cerr << "cannot listen on " << opts->host << " from port " << opts->port << '\n';
        return exit_port_taken;
    }
    for (const standin_address& it : standins.addresses()) {
        std::string prefix;
        if (opts->kind == standin_kind::all) {
            prefix = it.kind + ' ' + it.name + ' ';
        }
        else if (opts->kind == standin_kind::relay) {
            prefix = it.name + ' ';
        }
        std::cout << "listening " << prefix << it.address << std::endl;
    }
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}
