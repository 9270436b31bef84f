#include <LibLog/Logging.h>

#include "BoundedAppender.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/level.h>
#include <log4cxx/patternlayout.h>

#include <unistd.h>

#include <memory>

namespace Log {

void configureLogging(const std::string &level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
        LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %c: %m%n"));
    const auto appender = std::make_shared<BoundedAppender>(layout, STDOUT_FILENO, BudgetLimits());
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(level));
}

log4cxx::LoggerPtr logger(const std::string &part)
{
    return log4cxx::Logger::getLogger(part);
}

} // namespace Log
