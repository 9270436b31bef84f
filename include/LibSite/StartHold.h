#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace Site {

/// When each of the owner's copies of the store's records was complete, on the suspend-aware clock;
/// nothing before it was so for the first time.
struct CopyTimes
{
    std::optional<Core::Instant> operators;
    std::optional<Core::Instant> jobs;
    std::optional<Core::Instant> workers;

    auto operator<=>(const CopyTimes &) const = default;
};

/// True if a copy is so much older than \p provenAt, when the owner's last successful append was
/// sent, that no task may be started: an operator, a caller or a worker may have forbidden it
/// meanwhile. While the store answers no node nothing can be forbidden, and starts continue.
///
/// \p drainTime is how long a worker that announces its leaving may still get starts.
/// \p hasCustomerLimits is true if the operators may have lowered a customer's limit.
bool areCopiesTooOldForStarts(const CopyTimes &copies, Core::Instant provenAt,
                              Core::Duration drainTime, bool hasCustomerLimits = false);

} // namespace Site
