#include "util/nonblocking_appender.h"

#include <log4cxx/layout.h>
#include <log4cxx/level.h>

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace lagoonferry {

namespace {

/// Lines in the long run and at once. A gateway at its highest load on the users' days writes about 40 lines a second.
constexpr double lines_per_second = 400;
constexpr double lines_at_once = 1'200;

} // namespace

// IMPLEMENT_LOG4CXX_OBJECT works in the global namespace only. Its registration by name is not needed.
const helpers::Class& nonblocking_appender::getClass() const
{
    return getStaticClass();
}

const helpers::Class& nonblocking_appender::getStaticClass()
{
    static const Clazznonblocking_appender the_class;
    return the_class;
}

nonblocking_appender::nonblocking_appender() : m_budget(lines_per_second, lines_at_once) {}

void nonblocking_appender::append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool)
{
    const bool important = event->getLevel()->isGreaterOrEqual(log4cxx::Level::getError());
    if (!m_budget.try_acquire(steady_now()) && !important) {
        ++m_dropped;
        ++m_untold;
        return;
    }
    log4cxx::LogString line;
    getLayout()->format(line, event, pool);
    if (m_untold > 0) {
        line = "log lines dropped=" + std::to_string(m_untold) + "\n" + line;
    }
    if (write_line(line)) {
        m_untold = 0;
    }
    else {
        ++m_dropped;
        ++m_untold;
    }
}

// A pipe that is ready takes at least PIPE_BUF bytes at once, so a line of usual length does not wait.
bool nonblocking_appender::write_line(const std::string& line)
{
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&out, 1, 0) <= 0 || (out.revents & POLLOUT) == 0) {
        return false;
    }
    m_partial += line;
    const std::size_t length = std::min<std::size_t>(m_partial.size(), PIPE_BUF);
    const ssize_t n = ::write(STDOUT_FILENO, m_partial.data(), length);
    m_partial.erase(0, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    return true;
}

} // namespace lagoonferry
