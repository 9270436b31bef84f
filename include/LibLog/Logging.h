#pragma once

#include <LibLog/LineBudget.h>

#include <log4cxx/logger.h>

#include <string>

namespace Log {

/// Sends the log to the standard output, each line with its time, level and part. The volume is
/// bounded and writing never blocks; what is left out is counted in a line of its own.
void configureLogging(const std::string &level);
/// The same with another \p descriptor and other \p limits; it replaces what was configured before.
void configureLogging(const std::string &level, int descriptor, const BudgetLimits &limits);

/// The logger of one part; its name is the prefix of the part's lines.
log4cxx::LoggerPtr logger(const std::string &part);
/// The logger for those lines of a part that an engineer on call can't do without: other lines
/// don't crowd them out. For the ownership, dependencies, and the process's start, stop and reload.
/// Warnings and worse are treated so whichever logger they come from.
log4cxx::LoggerPtr essentialLogger(const std::string &part);

} // namespace Log
