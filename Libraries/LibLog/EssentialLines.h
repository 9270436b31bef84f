#pragma once

#include <LibLog/LineBudget.h>

#include <log4cxx/spi/loggingevent.h>

#include <string_view>

namespace Log {

/// Prefix of the names of loggers whose lines are essential.
inline constexpr std::string_view essentialPrefix = "essential.";

/// Warnings and errors are essential, and lines of an essential logger at level INFO or higher.
LineKind lineKind(const log4cxx::spi::LoggingEvent &event);

} // namespace Log
