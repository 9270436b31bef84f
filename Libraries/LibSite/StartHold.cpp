#include <LibSite/StartHold.h>

#include <algorithm>

namespace Site {

/// A failure domain that was taken out of service must get no more starts after 5 s at the latest.
static constexpr Core::Duration maxOperatorsLag = std::chrono::seconds(3);
/// The corresponding limit on a site whose customers have limits: a lowered one must hold after 3
/// s. The difference covers the age of the last append and the transit time of a start command.
static constexpr Core::Duration maxOperatorsLagWithLimits = std::chrono::milliseconds(2200);
/// The corresponding limit for the job records: a cancelled job must get no more starts after 3 s.
static constexpr Core::Duration maxJobsLag = std::chrono::seconds(2);
/// The corresponding limit for the workers' records is the drain time less this margin, which
/// covers the age of the last append while the store answers (the interval of heartbeats and the
/// time of an append) and the transit time of a start command.
static constexpr Core::Duration startMarginOnDrainingWorker = std::chrono::milliseconds(800);
/// Lower bound of that limit: even without faults, reads of the workers' records may be this far
/// apart.
static constexpr Core::Duration minWorkersLagLimit = std::chrono::milliseconds(700);

bool areCopiesTooOldForStarts(const CopyTimes &copies, Core::Instant provenAt,
                              Core::Duration drainTime, bool hasCustomerLimits)
{
    const auto isOld
        = [provenAt](std::optional<Core::Instant> completeAsOf, Core::Duration maxLag) {
              return !completeAsOf || provenAt - *completeAsOf > maxLag;
          };
    const Core::Duration maxWorkersLag
        = std::max(drainTime - startMarginOnDrainingWorker, minWorkersLagLimit);
    const Core::Duration maxCatalogueLag
        = hasCustomerLimits ? maxOperatorsLagWithLimits : maxOperatorsLag;
    return isOld(copies.operators, maxCatalogueLag) || isOld(copies.jobs, maxJobsLag)
        || isOld(copies.workers, maxWorkersLag);
}

} // namespace Site
