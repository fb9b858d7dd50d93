#include "util/log.h"

#include "util/nonblocking_appender.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>

namespace lagoonferry {

namespace {

struct part_row {
    log_part part;
    const char* name;
};

constexpr std::array part_rows{
    part_row{log_part::main, "main"},         part_row{log_part::entry, "entry"},
    part_row{log_part::program, "program"},   part_row{log_part::journal, "journal"},
    part_row{log_part::dispatch, "dispatch"}, part_row{log_part::membership, "membership"},
    part_row{log_part::document, "document"}, part_row{log_part::platform, "platform"},
    part_row{log_part::peer, "peer"},         part_row{log_part::client, "client"},
    part_row{log_part::standin, "standin"},
};

log4cxx::LoggerPtr logger_of(log_part part)
{
    static const auto loggers = [] {
        std::array<log4cxx::LoggerPtr, part_rows.size()> all;
        std::ranges::transform(part_rows, all.begin(),
                               [](const part_row& row) { return log4cxx::Logger::getLogger(row.name); });
        return all;
    }();
    return loggers.at(static_cast<std::size_t>(part));
}

log4cxx::LevelPtr level_of(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warning:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    case log_level::off:
        break;
    }
    return log4cxx::Level::getOff();
}

} // namespace

void configure_log(log_level level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{ISO8601} %-5p [%c] %m%n"));
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout);
    appender->setTarget(LOG4CXX_STR("System.err"));
    log4cxx::helpers::Pool pool;
    appender->activateOptions(pool);
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(level_of(level));
}

void configure_nonblocking_log(log_level level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{ISO8601} %-5p [%c] %m%n"));
    const auto appender = std::make_shared<nonblocking_appender>();
    appender->setLayout(layout);
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(level_of(level));
}

bool configure_log_part(std::string_view part, log_level level)
{
    const auto* it = std::ranges::find(part_rows, part, &part_row::name);
    if (it == part_rows.end()) {
        return false;
    }
    logger_of(it->part)->setLevel(level_of(level));
    return true;
}

bool log_enabled(log_part part, log_level level)
{
    return logger_of(part)->isEnabledFor(level_of(level));
}

void log_line(log_part part, log_level level, const std::string& text)
{
    logger_of(part)->forcedLog(level_of(level), text, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace lagoonferry
