#pragma once

#include <LibLog/LineBudget.h>

#include <log4cxx/spi/loggingevent.h>

#include <string_view>

namespace Log {

/// Stands before the part in the names of loggers whose lines are essential.
inline constexpr std::string_view essentialPrefix = "essential.";

/// Essential are warnings and worse, and what an essential logger says unless it is for debugging.
LineKind lineKind(const log4cxx::spi::LoggingEvent &event);

} // namespace Log
