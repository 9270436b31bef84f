#pragma once

#include <log4cxx/logger.h>

#include <string>

namespace Log {

/// Sends the log to the standard output, each line with its time, level and part. The volume is
/// bounded and writing never blocks; what is left out is counted in a line of its own.
void configureLogging(const std::string &level);

/// The logger of one part; its name is the prefix of the part's lines.
log4cxx::LoggerPtr logger(const std::string &part);

} // namespace Log
