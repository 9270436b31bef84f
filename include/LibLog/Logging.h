#pragma once

#include <LibLog/LineBudget.h>

#include <log4cxx/logger.h>

#include <string>

namespace Log {

/// Writes the log to the standard output, each line with its time, level and part. The volume is
/// bounded and writing never blocks. A line of its own says how many lines were dropped.
void configureLogging(const std::string &level);
/// Writes the log to \p descriptor within \p limits. Replaces the former configuration.
void configureLogging(const std::string &level, int descriptor, const BudgetLimits &limits);

/// The logger of one part; its name is the prefix of the part's lines.
log4cxx::LoggerPtr logger(const std::string &part);
/// The logger for the essential lines of a part, which other lines don't crowd out: those on
/// ownership, on dependencies, and on start, stop and reload of the process. Warnings and errors
/// of any logger are essential too.
log4cxx::LoggerPtr essentialLogger(const std::string &part);

} // namespace Log
