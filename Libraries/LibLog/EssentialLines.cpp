#include "EssentialLines.h"

#include <log4cxx/level.h>

namespace Log {

LineKind lineKind(const log4cxx::spi::LoggingEvent &event)
{
    const int level = event.getLevel()->toInt();
    if (level >= log4cxx::Level::WARN_INT)
        return LineKind::Essential;
    const bool isOfEssentialLogger = event.getLoggerName().starts_with(essentialPrefix);
    return isOfEssentialLogger && level >= log4cxx::Level::INFO_INT ? LineKind::Essential
                                                                    : LineKind::Ordinary;
}

} // namespace Log
