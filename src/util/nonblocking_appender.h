#pragma once

#include "util/log_rate_limiter.h"

#include <log4cxx/appenderskeleton.h>

#include <cstddef>
#include <string>

namespace lagoonferry {

namespace helpers = log4cxx::helpers; // the macros of log4cxx use these names unqualified
using log4cxx::LogString;

/// Writes log lines to standard output without blocking. Lines are dropped if the pipe is full or the rate limit is
/// exceeded; their number is written before the next line. Only called with the lock of the logger held.
class nonblocking_appender final : public log4cxx::AppenderSkeleton {
public:
    DECLARE_LOG4CXX_OBJECT(nonblocking_appender)
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(nonblocking_appender)
    LOG4CXX_CAST_ENTRY_CHAIN(log4cxx::AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    nonblocking_appender();

    void close() override {}
    bool requiresLayout() const override { return true; }

    /// Returns the number of lines dropped since the start.
    std::size_t dropped() const { return m_dropped; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override;

private:
    bool write_line(const std::string& line);

    log_rate_limiter m_limiter;
    std::size_t m_dropped = 0;
    std::size_t m_unreported = 0; ///< lines dropped since the last written line
    std::string m_partial;        ///< unwritten rest of a line after a partial write
};

} // namespace lagoonferry
