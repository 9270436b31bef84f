#include <LibLog/Logging.h>

#include "BoundedAppender.h"
#include "EssentialLines.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/level.h>
#include <log4cxx/patternlayout.h>

#include <unistd.h>

#include <memory>

namespace Log {

void configureLogging(const std::string &level)
{
    configureLogging(level, STDOUT_FILENO, BudgetLimits());
}

void configureLogging(const std::string &level, int descriptor, const BudgetLimits &limits)
{
    // %c{1} is the last component of the logger's name: the part, also for essential loggers.
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
        LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %c{1}: %m%n"));
    const auto appender = std::make_shared<BoundedAppender>(layout, descriptor, limits);
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(level));
}

log4cxx::LoggerPtr logger(const std::string &part)
{
    return log4cxx::Logger::getLogger(part);
}

log4cxx::LoggerPtr essentialLogger(const std::string &part)
{
    return log4cxx::Logger::getLogger(std::string(essentialPrefix) + part);
}

} // namespace Log
