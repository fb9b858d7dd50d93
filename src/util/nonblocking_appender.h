#pragma once

#include "util/log_rate_limiter.h"

#include <log4cxx/appenderskeleton.h>

#include <cstddef>
#include <string>

namespace lagoonferry {

namespace helpers = log4cxx::helpers; // the macros of log4cxx expect its namespace
using log4cxx::LogString;

/// Writes log lines to standard output without ever waiting for its reader. Lines that the reader does not take, and
/// lines beyond the bound, are dropped; their number is written with the next line. The logger's lock protects it.
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

    /// Returns the number of lines that were dropped since the start.
    std::size_t dropped() const { return m_dropped; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override;

private:
    bool write_line(const std::string& line);

    log_rate_limiter m_budget;
    std::size_t m_dropped = 0;
    std::size_t m_untold = 0; ///< dropped since the last written line
    std::string m_partial;    ///< rest of a line that the reader took in part
};

} // namespace lagoonferry
