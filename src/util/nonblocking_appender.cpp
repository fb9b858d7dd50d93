#include "util/nonblocking_appender.h"

#include <log4cxx/layout.h>
#include <log4cxx/level.h>

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace lagoonferry {

namespace {

/// Sustained rate and burst size. A gateway at the peak load of the users writes about 40 lines per second.
constexpr double max_lines_per_second = 400;
constexpr double max_line_burst = 1'200;

} // namespace

// Replaces IMPLEMENT_LOG4CXX_OBJECT, which works only in the global namespace. Its registration by name is not needed.
const helpers::Class& nonblocking_appender::getClass() const
{
    return getStaticClass();
}

const helpers::Class& nonblocking_appender::getStaticClass()
{
    static const Clazznonblocking_appender the_class;
    return the_class;
}

nonblocking_appender::nonblocking_appender() : m_limiter(max_lines_per_second, max_line_burst) {}

void nonblocking_appender::append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool)
{
    const bool important = event->getLevel()->isGreaterOrEqual(log4cxx::Level::getError());
    if (!m_limiter.try_acquire(steady_now()) && !important) {
        ++m_dropped;
        ++m_unreported;
        return;
    }
    log4cxx::LogString line;
    getLayout()->format(line, event, pool);
    if (m_unreported > 0) {
        line = "log lines dropped=" + std::to_string(m_unreported) + "\n" + line;
    }
    if (write_line(line)) {
        m_unreported = 0;
    }
    else {
        ++m_dropped;
        ++m_unreported;
    }
}

// A pipe that is ready for writing accepts at least PIPE_BUF bytes without blocking. The rest of a longer line is
// written with the next one.
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
