#include "roles/stop_signal.h"

#include <csignal>
#include <unistd.h>

namespace lagoonferry {

namespace {

sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

void block_stop_signals()
{
    const sigset_t set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int wait_for_stop_signal()
{
    const sigset_t set = stop_signals();
    int number = 0;
    sigwait(&set, &number);
    return number;
}

void request_stop()
{
    ::kill(::getpid(), SIGTERM);
}

} // namespace lagoonferry
