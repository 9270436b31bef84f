#pragma once

#include <log4cxx/logger.h>

#include <string>

namespace Daemon {

/// Sends the log to the standard output, each line with its time, level and part.
void configureLogging(const std::string &level);

/// The logger of one part; its name is the prefix of the part's lines.
log4cxx::LoggerPtr logger(const std::string &part);

} // namespace Daemon
