#include <LibJob/SilentWorkers.h>

#include <algorithm>
#include <chrono>

namespace Jobs {

/// Workers that stop answering within this time may have a common cause: calls to workers that are
/// cut off at the same moment fail at different times.
static constexpr Core::Duration maxApart = std::chrono::seconds(1);
/// Calls to workers whose processes end at the same moment fail within this time.
static constexpr Core::Duration maxApartAfterCrash = std::chrono::milliseconds(250);
/// Workers are many if they are at least this number and one of `workersPerOneOfMany` of the site.
static constexpr std::size_t minMany = 2;
static constexpr std::size_t workersPerOneOfMany = 64;
/// A crash is known at the latest when the leases on the worker have run out.
static constexpr Core::Duration retention = std::chrono::seconds(10);

bool SilentWorkers::Silence::isOther(const Core::VmId &other, Core::Instant at,
                                     Core::Duration limit) const
{
    return worker != other && std::chrono::abs(beganAt - at) <= limit;
}

void SilentWorkers::note(const Core::VmId &worker, Core::Instant at, Suspicion suspicion)
{
    std::erase_if(m_silences,
                  [at](const Silence &silence) { return silence.beganAt + retention < at; });
    m_silences.push_back({ worker, at, suspicion });
}

bool SilentWorkers::hasOther(const Core::VmId &worker, Core::Instant at) const
{
    return std::any_of(m_silences.begin(), m_silences.end(), [&](const Silence &silence) {
        return silence.isOther(worker, at, maxApart);
    });
}

bool SilentWorkers::hasOtherAboveSuspicion(const Core::VmId &worker, Core::Instant at) const
{
    return std::any_of(m_silences.begin(), m_silences.end(), [&](const Silence &silence) {
        return silence.suspicion == Suspicion::None && silence.isOther(worker, at, maxApart);
    });
}

bool SilentWorkers::isOneOfMany(const Core::VmId &worker, Core::Instant at,
                                std::size_t workerCount) const
{
    const auto others
        = std::count_if(m_silences.begin(), m_silences.end(), [&](const Silence &silence) {
              return silence.suspicion != Suspicion::IsolatedRun
                  && silence.isOther(worker, at, maxApartAfterCrash);
          });
    return static_cast<std::size_t>(others) >= std::max(minMany, workerCount / workersPerOneOfMany);
}

} // namespace Jobs
